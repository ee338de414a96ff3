package org.boragegap.app;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.boragegap.core.cell.CellLayout;
import org.boragegap.platform.Topics;
import org.boragegap.standin.CellTargetStandin;
import org.boragegap.standin.LoopbackPorts;
import org.boragegap.standin.SampleCalls;
import org.boragegap.standin.StoreStandin;

/**
 * Entry VMs of one cell as separate processes on loopback addresses, with stand-ins of the store
 * and the targets in this process. An entry process that ends is started again at its addresses.
 */
final class CellProcesses {
    private static final String HOST = "127.0.0.1";
    private static final String CELL_TOPIC = "cell-0";
    private static final int TARGETS = 10;
    private static final long AWAIT_TIMEOUT_MS = 30_000;
    private static final long POLL_INTERVAL_MS = 20;

    /** Makes target ids differ as widely as real ones; 2^32 divided by the golden ratio. */
    private static final int ID_MULTIPLIER = 0x9E3779B9;

    /** The addresses and the current process of one entry VM. */
    final class EntryVm {
        private final String mPeerAddress = newAddress();
        private final String mCallerAddress = newAddress();
        private final String mReadyAddress = newAddress();
        private final Path mSettings;
        private final Path mLog;
        private Process mProcess;

        private EntryVm(int number) throws IOException {
            mSettings = mDirectory.resolve("entry-" + number + ".ini");
            mLog = mDirectory.resolve("entry-" + number + ".log");
            Files.writeString(mSettings, settings());
        }

        private String settings() throws IOException {
            return String.join(
                    "\n",
                    "[vm]",
                    "failure_domain = a",
                    "peer_address = " + mPeerAddress,
                    "caller_address = " + mCallerAddress,
                    "ready_address = " + mReadyAddress,
                    "operator_address = " + newAddress(),
                    "metrics_address = " + newAddress(),
                    "[deployment]",
                    "failure_domains = a",
                    "[platform]",
                    "log = " + mStoreAddress,
                    "vm_list = " + mStoreAddress,
                    "store = " + mStoreAddress,
                    "");
        }

        String callerAddress() {
            return mCallerAddress;
        }

        private synchronized void startProcess() {
            if (mStopped) {
                return;
            }
            List<String> command = new ArrayList<>();
            command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
            command.addAll(List.of("-Xmx96m", "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC"));
            command.addAll(List.of("-cp", System.getProperty("java.class.path")));
            command.addAll(List.of("org.boragegap.app.Main", "serve", "-c", mSettings.toString()));
            ProcessBuilder.Redirect log = ProcessBuilder.Redirect.appendTo(mLog.toFile());
            try {
                mProcess =
                        new ProcessBuilder(command).redirectOutput(log).redirectError(log).start();
            } catch (IOException e) {
                throw new IllegalStateException("can't start " + mPeerAddress, e);
            }
            mProcess.onExit().thenRun(this::startProcess);
        }

        /** Ends the process at once, as SIGKILL does. */
        synchronized void kill() {
            mProcess.destroyForcibly();
        }

        /** Asks the process to drain and end, as SIGTERM does. */
        synchronized void terminate() {
            mProcess.destroy();
        }

        private void stopProcess() throws InterruptedException {
            Process process;
            synchronized (this) {
                process = mProcess;
            }
            if (process != null) {
                process.destroyForcibly().waitFor();
            }
        }

        private boolean isReady() throws Exception {
            return ProcessDeployment.get(mReadyAddress, "/ready").statusCode() == 200;
        }
    }

    private final Path mDirectory;
    private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(2);
    private final List<EntryVm> mEntryVms = new ArrayList<>();
    private final List<CellTargetStandin> mTargets = new ArrayList<>();
    private final StoreStandin mStore;
    private final String mStoreAddress;
    private final CellLayout mLayout;
    private volatile boolean mStopped;

    private CellProcesses(Path directory, int entryVms, CellLayout layout) throws IOException {
        mDirectory = directory;
        mLayout = layout;
        int storePort = LoopbackPorts.next();
        mStoreAddress = HOST + ":" + storePort;
        mStore = StoreStandin.create(HOST, storePort, mTimer);
        for (int i = 0; i < TARGETS; i++) {
            mTargets.add(
                    CellTargetStandin.create(
                            String.format("i-%08x", i * ID_MULTIPLIER),
                            HOST,
                            LoopbackPorts.next(),
                            SampleCalls.SERVICE,
                            mStore,
                            mTimer));
        }
        for (int i = 0; i < entryVms; i++) {
            mEntryVms.add(new EntryVm(i));
        }
    }

    /**
     * Creates a deployment that isn't started.
     *
     * @param directory receives the settings and logs of the entry processes
     */
    static CellProcesses create(Path directory, int entryVms, CellLayout layout)
            throws IOException {
        return new CellProcesses(directory, entryVms, layout);
    }

    private static String newAddress() throws IOException {
        return HOST + ":" + LoopbackPorts.next();
    }

    void start() throws Exception {
        mStore.start();
        SampleCalls.putConfiguration(mStore, 1, SoakCallers.PREFIX);
        mStore.put(Topics.LAYOUT, Topics.CELLS_KEY, mLayout.text());
        for (CellTargetStandin target : mTargets) {
            target.start();
        }
        mEntryVms.forEach(EntryVm::startProcess);
        for (EntryVm vm : mEntryVms) {
            awaitReady(vm);
        }
    }

    private void awaitReady(EntryVm vm) throws Exception {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_TIMEOUT_MS);
        while (System.nanoTime() < deadlineNs) {
            try {
                if (vm.isReady()) {
                    return;
                }
            } catch (IOException e) {
                // The process doesn't listen yet.
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
        throw new AssertionError("not ready after " + AWAIT_TIMEOUT_MS + " ms: " + vm.mLog);
    }

    /** Kills all entry processes and stops the stand-ins. */
    void stop() throws Exception {
        mStopped = true;
        for (EntryVm vm : mEntryVms) {
            vm.stopProcess();
        }
        mTargets.forEach(CellTargetStandin::stop);
        mStore.stop();
        mTimer.shutdownNow();
    }

    List<EntryVm> entryVms() {
        return mEntryVms;
    }

    StoreStandin store() {
        return mStore;
    }

    List<CellTargetStandin> targets() {
        return mTargets;
    }

    /** The entry VM to which the store has assigned the cell. */
    Optional<EntryVm> controller() {
        Optional<String> member = mStore.holder(CELL_TOPIC, 0);
        return mEntryVms.stream()
                .filter(vm -> member.filter(m -> m.startsWith(vm.mPeerAddress + "/")).isPresent())
                .findFirst();
    }

    EntryVm anyEntryVm(SplittableRandom random) {
        return mEntryVms.get(random.nextInt(mEntryVms.size()));
    }

    void later(Runnable action, long delayMs) {
        mTimer.schedule(action, delayMs, TimeUnit.MILLISECONDS);
    }

    /** All runs that have ended on any target. */
    List<CellTargetStandin.PastRun> pastRuns() {
        return mTargets.stream().flatMap(target -> target.pastRuns().stream()).toList();
    }
}
