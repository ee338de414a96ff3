import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.boragegap.http.HttpEndpoint;
import org.boragegap.http.IncomingRequest;
import org.boragegap.standin.CellTargetStandin;
import org.boragegap.standin.StoreStandin;

/**
 * The deployment of the second review, whose zones all reach the store during a cut: entry
 * processes as the deploy file starts them, and the project's stand-ins of the store and the
 * minions in this process.
 *
 * <p>Each zone has its own address of the store. A process or minion of another zone appears under
 * an alias, 127.0.0.2 for zone 0, 127.0.0.3 for zone 1 and so on, where a proxy listens that
 * forwards to its real address, 127.0.0.1. The proxies of a zone can be cut: nothing passes, and no
 * connection is reset.
 */
final class SplitZones implements AutoCloseable {
    static final String SERVICE = "connect-desk";
    private static final String HOST = "127.0.0.1";
    private static final Pattern ADDRESS = Pattern.compile("127\\.0\\.0\\.\\d:(\\d{5})");
    private static final Set<Integer> PORTS = ConcurrentHashMap.newKeySet();
    private static final int MAX_BODY_BYTES = 1024 * 1024;
    private static final List<String> QUERY_NAMES =
            List.of("Topic", "part", "From", "WaitMs", "MaxFetchKb", "At", "group", "DependsOn");
    private static final long READY_TIMEOUT_MS = 40_000;

    /** A machine of the system. */
    final class Vm {
        final String name;
        final int zone;
        private final int cpuPercent;
        private final int peer = port();
        private final int caller = port();
        private final int ready = port();
        private final int operator = port();
        private final int metrics = port();
        private Process process;

        private Vm(String name, int zone, int cpuPercent) {
            this.name = name;
            this.zone = zone;
            this.cpuPercent = cpuPercent;
            homeZones.put(peer, zone);
        }

        private void start(boolean firstStart) throws IOException {
            Path settings = directory.resolve(name + ".ini");
            Files.writeString(settings, settings(firstStart));
            List<String> command = new ArrayList<>(List.of(runWords()));
            command.set(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
            command.set(command.size() - 1, settings.toString());
            process =
                    new ProcessBuilder(command)
                            .redirectErrorStream(true)
                            .redirectOutput(
                                    ProcessBuilder.Redirect.appendTo(
                                            directory.resolve(name + ".log").toFile()))
                            .start();
        }

        private String settings(boolean firstStart) {
            return String.join(
                    "\n",
                    "[vm]",
                    "failure_domain = zone-" + zone,
                    "peer_address = " + HOST + ":" + peer,
                    "caller_address = " + HOST + ":" + caller,
                    "operator_address = " + HOST + ":" + operator,
                    "ready_address = " + HOST + ":" + ready,
                    "metrics_address = " + HOST + ":" + metrics,
                    "cpu_share = " + cpuPercent / 100.0,
                    "cores = 1",
                    "[deployment]",
                    "failure_domains = " + zoneNames(),
                    "[platform]",
                    "log = " + storeAddress(zone),
                    "vm_list = " + storeAddress(zone),
                    "store = " + storeAddress(zone),
                    "group_lease_ms = 1000",
                    "target_lease_ms = 1000",
                    "first_start = " + firstStart,
                    "[policy]",
                    "far_factor = 2",
                    "speed_placement = on",
                    "[drain]",
                    "bound_ms = 5300",
                    "");
        }

        boolean controls() {
            Optional<String> holder = store.holder("cell-0", 0);
            return holder.filter(member -> member.startsWith(HOST + ":" + peer + "/")).isPresent();
        }

        int callerPort() {
            return caller;
        }

        /** Sends SIGTERM, as planned work does. */
        void terminate() {
            process.destroy();
        }

        /** Stops the process as planned work does and starts it again. */
        void restart() throws Exception {
            terminate();
            process.waitFor();
            start(false);
            awaitReady();
        }

        /** Starts this machine some time after the others, as one that is added. */
        void startAdded() throws IOException {
            start(false);
        }

        /** Ends this machine for good, as planned work does. */
        void remove() throws Exception {
            terminate();
            process.waitFor();
        }

        void awaitReady() throws Exception {
            long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
            while (System.nanoTime() < deadline) {
                try {
                    if (get(ready, "/ready") == 200) {
                        return;
                    }
                } catch (IOException e) {
                    // It doesn't listen yet.
                }
                Thread.sleep(50);
            }
            throw new IllegalStateException(name + " is not ready");
        }

        /** Sends a job; returns the status, or 0 if the connection ended without an answer. */
        int post(String path, String body, long budgetMs) {
            return send("POST", path, body, budgetMs);
        }

        int delete(String path) {
            return send("DELETE", path, "", 5_000);
        }

        private int send(String method, String path, String body, long budgetMs) {
            HttpRequest request =
                    HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + caller + path))
                            .timeout(Duration.ofMillis(budgetMs))
                            .header("Content-Type", "application/json")
                            .header("Deadline-Ms", Long.toString(budgetMs))
                            .method(method, HttpRequest.BodyPublishers.ofString(body))
                            .build();
            try {
                return http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
            } catch (IOException e) {
                return 0;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return 0;
            }
        }
    }

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
    private final Path directory;
    private final int zones;
    private final int storePort = port();
    private final StoreStandin store;
    private final List<HttpEndpoint> storeFronts = new ArrayList<>();
    private final List<Integer> storeFrontPorts = new ArrayList<>();
    private final ExecutorService forwarders = Executors.newCachedThreadPool();
    private final List<ServerSocket> proxies = new ArrayList<>();
    private final Map<Integer, Integer> homeZones = new ConcurrentHashMap<>();
    private final List<Vm> vms = new ArrayList<>();
    private final Set<Vm> spares = ConcurrentHashMap.newKeySet();
    private final Map<String, CellTargetStandin> minions = new LinkedHashMap<>();
    private final Set<Integer> asking = ConcurrentHashMap.newKeySet();
    private volatile int cutZone = -1;
    private volatile boolean closed;

    SplitZones(int zones) throws IOException {
        this.zones = zones;
        directory = Files.createTempDirectory("review-3-zones");
        store = StoreStandin.create(HOST, storePort, timer);
        store.start();
        for (int zone = 0; zone < zones; zone++) {
            storeFrontPorts.add(port());
            storeFronts.add(storeFront(zone, storeFrontPorts.get(zone)));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** The words of {@code run} in the deploy file. */
    private static String[] runWords() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(7, line.lastIndexOf('"')).split(" ");
            }
        }
        throw new IllegalStateException("no command in deploy/system.toml");
    }

    /** A free port of five digits that no other part of the deployment has. */
    private static int port() {
        while (true) {
            int port = 12_000 + (int) (Math.random() * 20_000);
            if (!PORTS.add(port)) {
                continue;
            }
            // Only loopback addresses are used, so only these have to be free.
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress(HOST, port));
                return port;
            } catch (IOException e) {
                // It is in use.
            }
        }
    }

    private String zoneNames() {
        List<String> names = new ArrayList<>();
        for (int zone = 0; zone < zones; zone++) {
            names.add("zone-" + zone);
        }
        return String.join(",", names);
    }

    private String storeAddress(int zone) {
        return HOST + ":" + storeFrontPorts.get(zone);
    }

    StoreStandin store() {
        return store;
    }

    /** A machine that isn't started with the others. */
    Vm addSpare(String name, int zone, int cpuPercent) {
        Vm vm = addVm(name, zone, cpuPercent);
        spares.add(vm);
        return vm;
    }

    Vm addVm(String name, int zone, int cpuPercent) {
        Vm vm = new Vm(name, zone, cpuPercent);
        vms.add(vm);
        return vm;
    }

    void addMinion(String id, int zone) throws IOException {
        int port = port();
        homeZones.put(port, zone);
        minions.put(id, CellTargetStandin.create(id, HOST, port, SERVICE, store, timer));
    }

    /** Starts everything, and waits until all machines are ready. */
    void start(String configuration) throws Exception {
        store.put("keyed.op", "config", configuration);
        store.put("keyed.layout", "cells", "1");
        for (CellTargetStandin minion : minions.values()) {
            minion.start();
        }
        for (int port : new ArrayList<>(homeZones.keySet())) {
            for (int zone = 0; zone < zones; zone++) {
                if (zone != homeZones.get(port)) {
                    proxy(zone, port, vms.stream().anyMatch(vm -> vm.peer == port));
                }
            }
        }
        for (Vm vm : vms) {
            if (!spares.contains(vm)) {
                vm.start(true);
            }
        }
        for (Vm vm : vms) {
            if (!spares.contains(vm)) {
                vm.awaitReady();
            }
        }
    }

    List<CellTargetStandin.PastRun> pastRuns() {
        return minions.values().stream().flatMap(m -> m.pastRuns().stream()).toList();
    }

    /** Cuts a zone off from the others, or ends the cut with -1; all zones reach the store. */
    void cut(int zone) {
        asking.clear();
        cutZone = zone;
    }

    private boolean isCut(int zone, int otherZone) {
        return zone != otherZone && (cutZone == zone || cutZone == otherZone);
    }

    private int get(int port, String path) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + port + path))
                        .timeout(Duration.ofSeconds(1))
                        .build();
        return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    // Addresses as a zone sees them

    private byte[] seenFrom(int zone, byte[] bytes) {
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        Matcher matcher = ADDRESS.matcher(text);
        byte[] seen = bytes.clone();
        while (matcher.find()) {
            Integer home = homeZones.get(Integer.parseInt(matcher.group(1)));
            if (home != null) {
                seen[matcher.start() + 8] = (byte) ('1' + (home == zone ? 0 : 1 + zone));
            }
        }
        return seen;
    }

    private static String aliasOf(int zone) {
        return "127.0.0." + (2 + zone);
    }

    // The store, as a zone sees it

    private HttpEndpoint storeFront(int zone, int port) throws IOException {
        HttpEndpoint front =
                HttpEndpoint.create(
                        "store-" + zone,
                        HOST,
                        port,
                        MAX_BODY_BYTES,
                        request -> forwarders.execute(() -> forward(zone, request)));
        front.start();
        return front;
    }

    /** True if a machine of another zone than this one asks the store for the cell. */
    boolean askedOutside(int zone) {
        return asking.stream().anyMatch(other -> other != zone);
    }

    private void forward(int zone, IncomingRequest request) {
        if (request.path().equals("/log-join") && request.text().contains("\"cell-0\"")) {
            asking.add(zone);
        }
        List<String> query = new ArrayList<>();
        for (String name : QUERY_NAMES) {
            request.query(name).ifPresent(value -> query.add(name + "=" + value));
        }
        try {
            StoreAnswer answer =
                    callStore(request, request.path() + "?" + String.join("&", query));
            request.reply(answer.status, translate(zone, request.path(), answer.body));
        } catch (IOException e) {
            request.drop();
        }
    }

    private record StoreAnswer(int status, byte[] body) {}

    /** Calls the store over a connection of its own, with the whole request in one segment. */
    private StoreAnswer callStore(IncomingRequest request, String uri) throws IOException {
        try (Socket socket = new Socket(HOST, storePort)) {
            socket.setTcpNoDelay(true);
            String head =
                    request.method() + " " + uri + " HTTP/1.1\r\nHost: " + HOST
                            + "\r\nConnection: close\r\nContent-Length: "
                            + request.body().length + "\r\n\r\n";
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(head.getBytes(StandardCharsets.ISO_8859_1));
            bytes.write(request.body());
            socket.getOutputStream().write(bytes.toByteArray());
            byte[] answer = socket.getInputStream().readAllBytes();
            String text = new String(answer, StandardCharsets.ISO_8859_1);
            int headEnd = text.indexOf("\r\n\r\n");
            if (headEnd < 0) {
                throw new IOException("no answer of the store");
            }
            return new StoreAnswer(
                    Integer.parseInt(text.substring(9, 12)),
                    Arrays.copyOfRange(answer, headEnd + 4, answer.length));
        }
    }

    private byte[] translate(int zone, String path, byte[] body) {
        if (!path.equals("/log-newest")) {
            return seenFrom(zone, body);
        }
        String text = new String(body, StandardCharsets.UTF_8);
        Matcher matcher = Pattern.compile("\"Value\":\"([^\"]*)\"").matcher(text);
        StringBuilder out = new StringBuilder();
        while (matcher.find()) {
            byte[] value = seenFrom(zone, Base64.getDecoder().decode(matcher.group(1)));
            String encoded = Base64.getEncoder().encodeToString(value);
            matcher.appendReplacement(out, "\"Value\":\"" + encoded + "\"");
        }
        return matcher.appendTail(out).toString().getBytes(StandardCharsets.UTF_8);
    }

    // Links between zones

    /** Listens at the alias under which a zone sees an address of another zone. */
    private void proxy(int zone, int port, boolean frames) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName(aliasOf(zone)), port), 200);
        proxies.add(listener);
        daemon(() -> accept(listener, zone, homeZones.get(port), port, frames));
    }

    private void accept(ServerSocket listener, int from, int to, int port, boolean frames) {
        while (!closed) {
            try {
                Socket client = listener.accept();
                daemon(() -> connect(client, from, to, port, frames));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Socket client, int from, int to, int port, boolean frames) {
        try {
            while (isCut(from, to) && !closed) {
                sleep(10);
            }
            Socket server = new Socket(HOST, port);
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            daemon(() -> pump(client, server, from, to, frames));
            daemon(() -> pump(server, client, to, from, frames));
        } catch (IOException e) {
            closeBoth(client, client);
        }
    }

    /** Copies from a socket in one zone to a socket in another. */
    private void pump(Socket in, Socket out, int from, int to, boolean frames) {
        try {
            DataInputStream input = new DataInputStream(in.getInputStream());
            OutputStream output = out.getOutputStream();
            byte[] buffer = new byte[64 * 1024];
            while (!closed) {
                byte[] bytes = frames ? readFrame(input) : readSome(input, buffer);
                while (isCut(from, to) && !closed) {
                    sleep(10);
                }
                output.write(frames ? seenFrom(to, bytes) : bytes);
                output.flush();
            }
        } catch (IOException e) {
            while (isCut(from, to) && !closed) {
                sleep(10);
            }
        }
        closeBoth(in, out);
    }

    private static byte[] readFrame(DataInputStream input) throws IOException {
        int length = input.readInt();
        byte[] frame = new byte[4 + length];
        frame[0] = (byte) (length >>> 24);
        frame[1] = (byte) (length >>> 16);
        frame[2] = (byte) (length >>> 8);
        frame[3] = (byte) length;
        input.readFully(frame, 4, length);
        return frame;
    }

    private static byte[] readSome(InputStream input, byte[] buffer) throws IOException {
        int count = input.read(buffer);
        if (count < 0) {
            throw new IOException("closed");
        }
        return Arrays.copyOf(buffer, count);
    }

    private static void closeBoth(Socket one, Socket other) {
        try {
            one.close();
            other.close();
        } catch (IOException e) {
            // Nothing is left to close.
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void killAll() {
        for (Vm vm : vms) {
            if (vm.process != null) {
                vm.process.destroyForcibly();
            }
        }
    }

    /** Lines of the logs of all machines that hold one of the words, each with its machine. */
    List<String> logLines(String... words) throws IOException {
        List<String> found = new ArrayList<>();
        for (Vm vm : vms) {
            if (vm.process == null) {
                continue;
            }
            for (String line : Files.readAllLines(directory.resolve(vm.name + ".log"))) {
                if (Arrays.stream(words).anyMatch(line::contains)) {
                    found.add(vm.name + " " + line);
                }
            }
        }
        return found;
    }

    @Override
    public void close() throws Exception {
        killAll();
        for (Vm vm : vms) {
            if (vm.process != null) {
                vm.process.waitFor();
            }
        }
        closed = true;
        minions.values().forEach(CellTargetStandin::stop);
        storeFronts.forEach(HttpEndpoint::stop);
        forwarders.shutdownNow();
        for (ServerSocket proxy : proxies) {
            proxy.close();
        }
        store.stop();
        timer.shutdownNow();
        try (var files = Files.walk(directory)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
    }

    /** A configuration with one queue. */
    static String configuration(int version, String prefix) {
        return "{\"Version\":" + version + ",\"Routes\":[{\"Name\":\"r1\",\"Host\":\"127.0.0.1\","
                + "\"PathPrefix\":\"" + prefix + "\",\"TimeoutMs\":30000,\"TargetDurationMs\":60,"
                + "\"Priority\":0,\"Service\":\"" + SERVICE + "\",\"MaxAttempts\":3,\"Stretch\":1.6}],"
                + "\"Services\":[{\"Name\":\"" + SERVICE + "\",\"AdmissionCheck\":false}]}";
    }
}
