package org.boragegap.app;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.boragegap.core.job.Resources;
import org.boragegap.core.membership.ListedVm;
import org.boragegap.core.membership.VmKind;
import org.boragegap.platform.PlatformJson;
import org.boragegap.platform.VmList;
import org.boragegap.standin.LoopbackPorts;

/**
 * A deployment of separate processes on loopback: entry VMs, and stand-ins for all else. Each
 * failure domain reaches the log and the VM list through listeners of its own.
 */
final class ProcessDeployment {
    private static final String HOST = "127.0.0.1";
    private static final Resources WORKER = new Resources(64_000, 65_536, 0);
    private static final int WORKER_SLOTS = 64;
    private static final int MINION_SLOTS = 8;
    private static final long PATIENCE_MS = 30_000;
    private static final long CHECK_MS = 20;
    private static final ObjectMapper sMapper = new ObjectMapper();

    /** One entry VM. */
    static final class Entry {
        final int mDomain;
        final String mPeer;
        final String mCaller;
        final String mOperator;
        final Path mSettings;
        Process mProcess;

        Entry(int domain, Path settings) throws IOException {
            mDomain = domain;
            mPeer = address();
            mCaller = address();
            mOperator = address();
            mSettings = settings;
        }
    }

    private final Path mFolder;
    private final int mDomains;
    private final List<Process> mStandins = new ArrayList<>();
    private final List<Entry> mEntries = new ArrayList<>();
    private final List<Integer> mLogPorts = new ArrayList<>();
    private final List<Integer> mListPorts = new ArrayList<>();
    private final List<Integer> mWorkerPorts = new ArrayList<>();
    private final List<Integer> mMinionPorts = new ArrayList<>();
    private final String mMoreSettings;

    ProcessDeployment(int domains, int entriesEach, int targetsEach, String moreSettings)
            throws Exception {
        mFolder = Files.createTempDirectory("boragegap");
        mDomains = domains;
        mMoreSettings = moreSettings;
        List<ListedVm> vms = new ArrayList<>();
        for (int domain = 0; domain < domains; domain++) {
            mLogPorts.add(LoopbackPorts.next());
            mListPorts.add(LoopbackPorts.next());
            for (int i = 0; i < targetsEach; i++) {
                int worker = LoopbackPorts.next();
                int minion = LoopbackPorts.next();
                mWorkerPorts.add(worker);
                mMinionPorts.add(minion);
                vms.add(target(worker, domain, VmKind.WORKER, "", WORKER, WORKER_SLOTS));
                vms.add(
                        target(
                                minion,
                                domain,
                                VmKind.MINION,
                                "catalogue",
                                Resources.NONE,
                                MINION_SLOTS));
            }
            for (int i = 0; i < entriesEach; i++) {
                Path settings = mFolder.resolve("entry-" + domain + "-" + i + ".ini");
                Entry entry = new Entry(domain, settings);
                mEntries.add(entry);
                vms.add(
                        new ListedVm(
                                entry.mPeer,
                                name(domain),
                                VmKind.ENTRY,
                                "",
                                false,
                                Resources.NONE,
                                0));
            }
        }
        try {
            startAll(vms);
        } catch (Exception | AssertionError e) {
            stop();
            throw e;
        }
    }

    private void startAll(List<ListedVm> vms) throws Exception {
        startStandins(vms);
        for (Entry entry : mEntries) {
            start(entry);
        }
        for (Entry entry : mEntries) {
            awaitReady(entry);
        }
    }

    private static ListedVm target(
            int port, int domain, VmKind kind, String service, Resources capacity, int slots) {
        return new ListedVm(HOST + ":" + port, name(domain), kind, service, false, capacity, slots);
    }

    private static String address() throws IOException {
        return HOST + ":" + LoopbackPorts.next();
    }

    static String name(int domain) {
        return "fd" + domain;
    }

    private void startStandins(List<ListedVm> vms) throws Exception {
        Path list = mFolder.resolve("vms.json");
        Files.writeString(list, PlatformJson.write(new VmList(vms)));
        startStandin("log", mLogPorts);
        startStandin("vms", mListPorts, "--lag-ms", "500", "--list", list.toString());
        startStandin("worker", mWorkerPorts, "--cpu-millis", "64000", "--memory-mb", "65536");
        startStandin("minion", mMinionPorts);
    }

    private void startStandin(String kind, List<Integer> ports, String... more) throws Exception {
        List<String> arguments = new ArrayList<>(List.of("standin", kind, "--ports", join(ports)));
        arguments.addAll(List.of(more));
        Process process = run(arguments, "standin-" + kind);
        mStandins.add(process);
        BufferedReader lines = new BufferedReader(new InputStreamReader(process.getInputStream()));
        if (!"ready".equals(lines.readLine())) {
            throw new IOException("stand-in " + kind + " did not start");
        }
    }

    private static String join(List<Integer> ports) {
        return ports.stream().map(String::valueOf).collect(Collectors.joining(","));
    }

    private Process run(List<String> arguments, String name) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xmx96m", "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC"));
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.add("org.boragegap.app.Main");
        command.addAll(arguments);
        File log = mFolder.resolve(name + ".log").toFile();
        return new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.appendTo(log))
                .start();
    }

    /** Starts an entry process, or a new one at the same address. */
    void start(Entry entry) throws IOException {
        List<String> domains = new ArrayList<>();
        for (int domain = 0; domain < mDomains; domain++) {
            domains.add(name(domain));
        }
        String text =
                String.join(
                        "\n",
                        "[vm]",
                        "failure_domain = " + name(entry.mDomain),
                        "peer_address = " + entry.mPeer,
                        "caller_address = " + entry.mCaller,
                        "operator_address = " + entry.mOperator,
                        "[deployment]",
                        "failure_domains = " + String.join(",", domains),
                        "[platform]",
                        "log = " + HOST + ":" + mLogPorts.get(entry.mDomain),
                        "vm_list = " + HOST + ":" + mListPorts.get(entry.mDomain),
                        "log_poll_ms = 100",
                        mMoreSettings,
                        "");
        Files.writeString(entry.mSettings, text);
        String name = entry.mSettings.getFileName().toString();
        entry.mProcess = run(List.of("serve", "-c", entry.mSettings.toString()), name);
    }

    void awaitReady(Entry entry) throws Exception {
        await("ready " + entry.mCaller, () -> get(entry.mOperator, "/readyz").statusCode() == 200);
    }

    /** Waits until a condition holds; an I/O error counts as not yet. */
    void await(String what, Callable<Boolean> condition) throws Exception {
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS);
        while (System.nanoTime() < untilNs) {
            try {
                if (condition.call()) {
                    return;
                }
            } catch (IOException e) {
                // Not up yet, or down on purpose.
            }
            TimeUnit.MILLISECONDS.sleep(CHECK_MS);
        }
        throw new AssertionError("not within " + PATIENCE_MS + " ms: " + what + logs());
    }

    /** The last lines that the processes logged, for a failing test. */
    String logs() throws IOException {
        StringBuilder text = new StringBuilder();
        try (var files = Files.list(mFolder)) {
            for (Path file : files.filter(path -> path.toString().endsWith(".log")).toList()) {
                List<String> lines = Files.readAllLines(file);
                List<String> last = lines.subList(Math.max(0, lines.size() - 5), lines.size());
                text.append("\n--- ").append(file.getFileName()).append('\n');
                text.append(String.join("\n", last));
            }
        }
        return text.toString();
    }

    List<Entry> entries() {
        return mEntries;
    }

    List<Entry> entriesOf(int domain) {
        return mEntries.stream().filter(entry -> entry.mDomain == domain).toList();
    }

    static HttpResponse<String> get(String address, String path) throws Exception {
        return CliHttpClient.send(address, "GET", path, "", "");
    }

    static HttpResponse<String> post(String address, String path, String body) throws Exception {
        return CliHttpClient.send(address, "POST", path, body, "");
    }

    static JsonNode json(HttpResponse<String> response) throws IOException {
        return sMapper.readTree(response.body());
    }

    JsonNode dump(Entry entry) throws Exception {
        return json(get(entry.mOperator, "/dump"));
    }

    /** Changes how the log behaves for one failure domain. */
    void log(int domain, String mode) throws Exception {
        post(
                HOST + ":" + mLogPorts.get(domain),
                "/control?listener=" + domain + "&mode=" + mode,
                "");
    }

    /** How many appends the log has taken. */
    int logAppends() throws Exception {
        return json(get(HOST + ":" + mLogPorts.get(0), "/stats")).path("appends").asInt();
    }

    /** Takes the VM list away from one failure domain, or gives it back. */
    void list(int domain, boolean down) throws Exception {
        post(
                HOST + ":" + mListPorts.get(domain),
                "/control?listener=" + domain + "&down=" + down,
                "");
    }

    /** Changes how a minion behaves. */
    void minion(int index, String mode) throws Exception {
        post(HOST + ":" + mMinionPorts.get(index), "/control?mode=" + mode, "");
    }

    int minions() {
        return mMinionPorts.size();
    }

    /** Starts by submission and index, over all targets. */
    Map<String, Integer> starts() throws Exception {
        Map<String, Integer> all = new HashMap<>();
        List<Integer> ports = new ArrayList<>(mWorkerPorts);
        ports.addAll(mMinionPorts);
        for (int port : ports) {
            Map<String, Integer> some =
                    sMapper.readValue(
                            get(HOST + ":" + port, "/starts").body(), new TypeReference<>() {});
            some.forEach((task, count) -> all.merge(task, count, Integer::sum));
        }
        return all;
    }

    /** Sends a signal to an entry process of this deployment. */
    static void signal(Entry entry, String name) throws Exception {
        String pid = Long.toString(entry.mProcess.pid());
        new ProcessBuilder("kill", "-" + name, pid).start().waitFor();
    }

    /** Ends all its processes. */
    void stop() throws Exception {
        for (Entry entry : mEntries) {
            if (entry.mProcess != null) {
                entry.mProcess.destroyForcibly().waitFor();
            }
        }
        for (Process process : mStandins) {
            process.destroyForcibly().waitFor();
        }
        try (var files = Files.list(mFolder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(mFolder);
    }
}
