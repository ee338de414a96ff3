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
 * Starts a deployment of separate processes on loopback addresses: entry VMs, and stand-ins for the
 * log, the VM list, workers and minions. Each failure domain reaches the log and the VM list
 * through its own listeners, so that a test can cut off a single domain.
 */
final class ProcessDeployment {
    private static final String HOST = "127.0.0.1";
    private static final Resources WORKER_CAPACITY = new Resources(64_000, 65_536, 0);
    private static final int WORKER_SLOTS = 64;
    private static final int MINION_SLOTS = 8;
    private static final long AWAIT_TIMEOUT_MS = 30_000;
    private static final long POLL_INTERVAL_MS = 20;
    private static final ObjectMapper sMapper = new ObjectMapper();

    /** The addresses, the settings file and the current process of one entry VM. */
    static final class EntryProcess {
        final int mDomain;
        final String mPeerAddress;
        final String mCallerAddress;
        final String mOperatorAddress;
        final Path mSettingsFile;
        Process mProcess;

        EntryProcess(int domain, Path settings) throws IOException {
            mDomain = domain;
            mPeerAddress = newAddress();
            mCallerAddress = newAddress();
            mOperatorAddress = newAddress();
            mSettingsFile = settings;
        }
    }

    private final Path mDirectory;
    private final int mDomainCount;
    private final List<Process> mStandins = new ArrayList<>();
    private final List<EntryProcess> mEntryProcesses = new ArrayList<>();
    private final List<Integer> mLogPorts = new ArrayList<>();
    private final List<Integer> mVmListPorts = new ArrayList<>();
    private final List<Integer> mWorkerPorts = new ArrayList<>();
    private final List<Integer> mMinionPorts = new ArrayList<>();
    private final String mExtraSettings;

    ProcessDeployment(
            int domainCount, int entryVmsPerDomain, int targetsPerDomain, String extraSettings)
            throws Exception {
        mDirectory = Files.createTempDirectory("boragegap");
        mDomainCount = domainCount;
        mExtraSettings = extraSettings;
        List<ListedVm> vms = new ArrayList<>();
        for (int domain = 0; domain < domainCount; domain++) {
            mLogPorts.add(LoopbackPorts.next());
            mVmListPorts.add(LoopbackPorts.next());
            for (int i = 0; i < targetsPerDomain; i++) {
                int workerPort = LoopbackPorts.next();
                int minionPort = LoopbackPorts.next();
                mWorkerPorts.add(workerPort);
                mMinionPorts.add(minionPort);
                vms.add(
                        listedTarget(
                                workerPort,
                                domain,
                                VmKind.WORKER,
                                "",
                                WORKER_CAPACITY,
                                WORKER_SLOTS));
                vms.add(
                        listedTarget(
                                minionPort,
                                domain,
                                VmKind.MINION,
                                "catalogue",
                                Resources.NONE,
                                MINION_SLOTS));
            }
            for (int i = 0; i < entryVmsPerDomain; i++) {
                Path settings = mDirectory.resolve("entry-" + domain + "-" + i + ".ini");
                EntryProcess entry = new EntryProcess(domain, settings);
                mEntryProcesses.add(entry);
                vms.add(
                        new ListedVm(
                                entry.mPeerAddress,
                                domainName(domain),
                                VmKind.ENTRY,
                                "",
                                false,
                                Resources.NONE,
                                0));
            }
        }
        try {
            startProcesses(vms);
        } catch (Exception | AssertionError e) {
            stop();
            throw e;
        }
    }

    private void startProcesses(List<ListedVm> vms) throws Exception {
        startStandins(vms);
        for (EntryProcess entry : mEntryProcesses) {
            start(entry);
        }
        for (EntryProcess entry : mEntryProcesses) {
            awaitReady(entry);
        }
    }

    private static ListedVm listedTarget(
            int port, int domain, VmKind kind, String service, Resources capacity, int slots) {
        return new ListedVm(
                HOST + ":" + port, domainName(domain), kind, service, false, capacity, slots);
    }

    private static String newAddress() throws IOException {
        return HOST + ":" + LoopbackPorts.next();
    }

    static String domainName(int domain) {
        return "fd" + domain;
    }

    private void startStandins(List<ListedVm> vms) throws Exception {
        Path listFile = mDirectory.resolve("vms.json");
        Files.writeString(listFile, PlatformJson.write(new VmList(vms)));
        startStandin("log", mLogPorts);
        startStandin("vms", mVmListPorts, "--lag-ms", "500", "--list", listFile.toString());
        startStandin("worker", mWorkerPorts, "--cpu-millis", "64000", "--memory-mb", "65536");
        startStandin("minion", mMinionPorts);
    }

    private void startStandin(String kind, List<Integer> ports, String... extraArguments)
            throws Exception {
        List<String> arguments = new ArrayList<>(List.of("standin", kind, "--ports", join(ports)));
        arguments.addAll(List.of(extraArguments));
        Process process = launch(arguments, "standin-" + kind);
        mStandins.add(process);
        BufferedReader output = new BufferedReader(new InputStreamReader(process.getInputStream()));
        if (!"ready".equals(output.readLine())) {
            throw new IOException("stand-in " + kind + " did not start");
        }
    }

    private static String join(List<Integer> ports) {
        return ports.stream().map(String::valueOf).collect(Collectors.joining(","));
    }

    private Process launch(List<String> arguments, String name) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xmx96m", "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC"));
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.add("org.boragegap.app.Main");
        command.addAll(arguments);
        File log = mDirectory.resolve(name + ".log").toFile();
        return new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.appendTo(log))
                .start();
    }

    /** Starts an entry process. A restarted one gets the same addresses and settings. */
    void start(EntryProcess entry) throws IOException {
        List<String> domains = new ArrayList<>();
        for (int domain = 0; domain < mDomainCount; domain++) {
            domains.add(domainName(domain));
        }
        String ini =
                String.join(
                        "\n",
                        "[vm]",
                        "failure_domain = " + domainName(entry.mDomain),
                        "peer_address = " + entry.mPeerAddress,
                        "caller_address = " + entry.mCallerAddress,
                        "operator_address = " + entry.mOperatorAddress,
                        "[deployment]",
                        "failure_domains = " + String.join(",", domains),
                        "[platform]",
                        "log = " + HOST + ":" + mLogPorts.get(entry.mDomain),
                        "vm_list = " + HOST + ":" + mVmListPorts.get(entry.mDomain),
                        "log_poll_ms = 100",
                        mExtraSettings,
                        "");
        Files.writeString(entry.mSettingsFile, ini);
        String name = entry.mSettingsFile.getFileName().toString();
        entry.mProcess = launch(List.of("serve", "-c", entry.mSettingsFile.toString()), name);
    }

    void awaitReady(EntryProcess entry) throws Exception {
        await(
                "ready " + entry.mCallerAddress,
                () -> get(entry.mOperatorAddress, "/readyz").statusCode() == 200);
    }

    /** Polls a condition until it holds; an I/O error means that it does not hold yet. */
    void await(String description, Callable<Boolean> condition) throws Exception {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_TIMEOUT_MS);
        while (System.nanoTime() < deadlineNs) {
            try {
                if (condition.call()) {
                    return;
                }
            } catch (IOException e) {
                // The process is not up yet, or the test has stopped it.
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
        throw new AssertionError(
                "timed out after " + AWAIT_TIMEOUT_MS + " ms: " + description + lastLogLines());
    }

    /** The last five log lines of each process, for the message of a failing test. */
    String lastLogLines() throws IOException {
        StringBuilder text = new StringBuilder();
        try (var files = Files.list(mDirectory)) {
            for (Path file : files.filter(path -> path.toString().endsWith(".log")).toList()) {
                List<String> lines = Files.readAllLines(file);
                List<String> last = lines.subList(Math.max(0, lines.size() - 5), lines.size());
                text.append("\n--- ").append(file.getFileName()).append('\n');
                text.append(String.join("\n", last));
            }
        }
        return text.toString();
    }

    List<EntryProcess> entryProcesses() {
        return mEntryProcesses;
    }

    List<EntryProcess> entryProcessesOf(int domain) {
        return mEntryProcesses.stream().filter(entry -> entry.mDomain == domain).toList();
    }

    static HttpResponse<String> get(String address, String path) throws Exception {
        return CliHttpClient.send(address, "GET", path, "", "");
    }

    static HttpResponse<String> post(String address, String path, String body) throws Exception {
        return CliHttpClient.send(address, "POST", path, body, "");
    }

    static JsonNode parseJson(HttpResponse<String> response) throws IOException {
        return sMapper.readTree(response.body());
    }

    JsonNode dump(EntryProcess entry) throws Exception {
        return parseJson(get(entry.mOperatorAddress, "/dump"));
    }

    /** Sets the mode of the log stand-in for one failure domain. */
    void setLogMode(int domain, String mode) throws Exception {
        post(
                HOST + ":" + mLogPorts.get(domain),
                "/control?listener=" + domain + "&mode=" + mode,
                "");
    }

    /** Number of appends that the log has accepted. */
    int logAppends() throws Exception {
        return parseJson(get(HOST + ":" + mLogPorts.get(0), "/stats")).path("appends").asInt();
    }

    /** Makes the VM list unavailable to one failure domain, or available again. */
    void setVmListDown(int domain, boolean down) throws Exception {
        post(
                HOST + ":" + mVmListPorts.get(domain),
                "/control?listener=" + domain + "&down=" + down,
                "");
    }

    /** Sets the mode of a minion stand-in. */
    void setMinionMode(int index, String mode) throws Exception {
        post(HOST + ":" + mMinionPorts.get(index), "/control?mode=" + mode, "");
    }

    int minionCount() {
        return mMinionPorts.size();
    }

    /** Number of starts of each task over all targets; the key is submission id/task index. */
    Map<String, Integer> starts() throws Exception {
        Map<String, Integer> totals = new HashMap<>();
        List<Integer> ports = new ArrayList<>(mWorkerPorts);
        ports.addAll(mMinionPorts);
        for (int port : ports) {
            Map<String, Integer> targetStarts =
                    sMapper.readValue(
                            get(HOST + ":" + port, "/starts").body(), new TypeReference<>() {});
            targetStarts.forEach((task, count) -> totals.merge(task, count, Integer::sum));
        }
        return totals;
    }

    /** Sends a signal to an entry process of this deployment. */
    static void sendSignal(EntryProcess entry, String signal) throws Exception {
        String pid = Long.toString(entry.mProcess.pid());
        new ProcessBuilder("kill", "-" + signal, pid).start().waitFor();
    }

    /** Kills all processes and deletes their files. */
    void stop() throws Exception {
        for (EntryProcess entry : mEntryProcesses) {
            if (entry.mProcess != null) {
                entry.mProcess.destroyForcibly().waitFor();
            }
        }
        for (Process process : mStandins) {
            process.destroyForcibly().waitFor();
        }
        try (var files = Files.list(mDirectory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(mDirectory);
    }
}
