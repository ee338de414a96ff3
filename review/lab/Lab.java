import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.boragegap.standin.LoopbackPorts;
import org.boragegap.standin.StoreStandin;

/** A small deployment: entry processes from the deploy file, a store, minions and clients. */
class Lab {
    static final String HOST = "127.0.0.1";
    static final String SERVICE = "tasks";
    static final String PREFIX = "/jobs/";
    private static final ObjectMapper JSON = new ObjectMapper();

    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));
    final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(4);
    final StoreStandin mStore;
    final int mStorePort;
    final List<Front> mFronts = new ArrayList<>();
    final List<Minion.Run> mRuns = new ArrayList<>();
    private final java.util.Set<String> mBodies = ConcurrentHashMap.newKeySet();
    private final long mZeroMs = nowMs();
    private final PrintWriter mRecord;
    private final Path mDirectory;
    private final HttpClient mHttp =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();

    Lab(Path record) throws IOException {
        mRecord = new PrintWriter(Files.newBufferedWriter(record), true);
        mDirectory = Files.createTempDirectory("review-lab");
        mStorePort = LoopbackPorts.next();
        mStore = StoreStandin.create(HOST, mStorePort, mTimer);
        mStore.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        record("trouble=" + mTrouble);
    }

    synchronized void record(String line) {
        mRecord.printf("%8d ms  %s%n", nowMs() - mZeroMs, line);
    }

    long sinceStart(long ms) {
        return ms - mZeroMs;
    }

    /** Work of a task; the text is made by the client, and a number stands for milliseconds. */
    long workMs(String task, String spec) {
        return Long.parseLong(spec);
    }

    /** For how long a minion leaves an order unanswered before it carries it out; 0 for most. */
    long lateMs(Minion minion) {
        return 0;
    }

    synchronized void began(Minion.Run run) {
        mRuns.add(run);
        record(
                "start "
                        + run.task
                        + " run="
                        + run.number
                        + " on "
                        + run.minion
                        + " label="
                        + run.label
                        + " cpu="
                        + run.cpu);
    }

    void ended(Minion.Run run) {
        record("end " + run.task + " run=" + run.number + " on " + run.minion + " " + run.how);
    }

    synchronized List<Minion.Run> runs() {
        return new ArrayList<>(mRuns);
    }

    /** Writes a configuration with one queue. */
    void configure(int version, long timeoutMs) {
        ObjectNode configuration = JSON.createObjectNode().put("Version", version);
        configuration
                .putArray("Routes")
                .addObject()
                .put("Name", "queue")
                .put("Host", HOST)
                .put("PathPrefix", PREFIX)
                .put("TimeoutMs", timeoutMs)
                .put("TargetDurationMs", 1_000)
                .put("Priority", 0)
                .put("Service", SERVICE)
                .put("MaxAttempts", 3)
                .put("Stretch", 1.6);
        configuration
                .putArray("Services")
                .addObject()
                .put("Name", SERVICE)
                .put("AdmissionCheck", false);
        mStore.put("keyed.op", "config", configuration.toString());
    }

    /** One machine with an entry process. */
    final class Front {
        final String mPeer = newAddress();
        final String mCallers = newAddress();
        final String mReady = newAddress();
        private final String mControl = newAddress();
        private final String mMetrics = newAddress();
        final Path mSettings;
        final Path mLog;
        Process mProcess;

        Front(int number) throws IOException {
            mSettings = mDirectory.resolve("front-" + number + ".ini");
            mLog = mDirectory.resolve("front-" + number + ".log");
            settings(true);
        }

        /** The template of the deploy file, filled in as DEPLOY.md says. */
        void settings(boolean bootstrap) throws IOException {
            String store = HOST + ":" + mStorePort;
            String text = Files.readString(Path.of("deploy/entry.ini"));
            Map<String, String> values = new java.util.HashMap<>();
            values.put("Zone", "a");
            values.put("{{Ip}}:{{InternalPortRange.0}}", mPeer);
            values.put("Listen.Front", mCallers);
            values.put("Listen.Control", mControl);
            values.put("Listen.Ready", mReady);
            values.put("{{Ip}}:9464", mMetrics);
            values.put("Limits.CpuShare", "0.75");
            values.put("Limits.Cores", "1");
            values.put("{{#Zones}}{{@}}{{,}}{{/Zones}}", "a");
            values.put("platform.Address", store);
            values.put("platform.TtlMinMs", "1000");
            values.put("Bounds.HoldMaxMs", "1000");
            values.put("Bootstrap", Boolean.toString(bootstrap));
            values.put("Bounds.FarFactor", "2");
            for (Map.Entry<String, String> value : values.entrySet()) {
                String key = value.getKey();
                text = text.replace(key.startsWith("{{") ? key : "{{" + key + "}}", value.getValue());
            }
            Files.writeString(mSettings, text);
        }

        void start() throws IOException {
            List<String> command = new ArrayList<>();
            for (String word : runLine().split(" ")) {
                command.add(word.equals("/etc/boragegap/boot.json") ? mSettings.toString() : word);
            }
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()));
            mProcess = builder.start();
            record("front " + mCallers + " started");
        }

        void signal(String name) throws Exception {
            new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
            record("front " + mCallers + " gets SIG" + name);
        }

        boolean ready() {
            try {
                return get("http://" + mReady + "/ready").statusCode() == 200;
            } catch (Exception e) {
                return false;
            }
        }
    }

    private static String newAddress() {
        try {
            return HOST + ":" + LoopbackPorts.next();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The command line of the deploy file. */
    private static String runLine() throws IOException {
        Matcher run =
                Pattern.compile("(?m)^run = \"(.*)\"$")
                        .matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no run line in the deploy file");
        }
        return run.group(1);
    }

    /** Starts the fronts, and returns once all are ready. */
    void startFronts(int count) throws Exception {
        for (int i = 0; i < count; i++) {
            mFronts.add(new Front(i));
        }
        for (Front front : mFronts) {
            front.start();
        }
        long giveUpMs = nowMs() + 40_000;
        for (Front front : mFronts) {
            while (!front.ready()) {
                if (nowMs() > giveUpMs) {
                    throw new IOException("not ready: " + front.mLog);
                }
                Thread.sleep(50);
            }
        }
        record("all fronts are ready");
    }

    HttpResponse<String> get(String uri) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create(uri)).timeout(Duration.ofSeconds(2)).build();
        return mHttp.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a request and records the answer; the status is 0 if there is none. */
    CompletableFuture<Integer> send(Front front, String method, String id, String body, long budgetMs) {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + front.mCallers + PREFIX + id))
                        .timeout(Duration.ofMillis(budgetMs))
                        .header("Deadline-Ms", Long.toString(budgetMs))
                        .header("Content-Type", "application/json")
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        record(method + " " + id + " to " + front.mCallers + (mBodies.add(body) ? " " + body : " (as before)"));
        return mHttp.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .handle(
                        (response, failure) -> {
                            int status = failure == null ? response.statusCode() : 0;
                            String said = failure == null ? response.body() : failure.toString();
                            record("answer to " + method + " " + id + ": " + status + " " + said);
                            return status;
                        });
    }

    /** A job that needn't be kept, with the given steps. */
    static ObjectNode job(String spec) {
        ObjectNode job = JSON.createObjectNode().put("Spec", spec).put("BestEffort", true);
        job.putArray("Steps");
        return job;
    }

    static ObjectNode addStep(ObjectNode job, int count, int cpu, long estimateMs) {
        ArrayNode steps = (ArrayNode) job.get("Steps");
        return steps.addObject()
                .put("Count", count)
                .put("Cpu", cpu)
                .put("MemMb", 64)
                .put("EstimateMs", estimateMs);
    }

    void endProcesses() {
        for (Front front : mFronts) {
            if (front.mProcess != null) {
                front.mProcess.destroyForcibly();
            }
        }
        for (Front front : mFronts) {
            try {
                if (front.mProcess != null) {
                    front.mProcess.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Ends all processes and this one: 1 if the rule was broken, 0 if it held. */
    void finish(String rule, List<String> breaks) {
        breaks.forEach(line -> record("BROKEN " + rule + ": " + line));
        record(rule + (breaks.isEmpty() ? " held" : " broken " + breaks.size() + " times"));
        System.out.println(rule + (breaks.isEmpty() ? " held" : " broken: " + breaks.get(0)));
        endProcesses();
        if (System.getenv("KEEP_LOGS") == null) {
            deleteDirectory();
        } else {
            System.out.println(mDirectory);
        }
        Runtime.getRuntime().halt(breaks.isEmpty() ? 0 : 1);
    }

    private void deleteDirectory() {
        try (java.util.stream.Stream<Path> files = Files.list(mDirectory)) {
            files.forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            return;
        }
        mDirectory.toFile().delete();
    }

    /** The case couldn't run. */
    void cannotRun(Throwable cause) {
        record("the case couldn't run: " + cause);
        cause.printStackTrace();
        endProcesses();
        Runtime.getRuntime().halt(2);
    }
}
