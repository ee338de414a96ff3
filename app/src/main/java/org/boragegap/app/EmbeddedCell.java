package org.boragegap.app;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.boragegap.core.cell.CellLayout;
import org.boragegap.entry.Settings;
import org.boragegap.entry.cell.CellNode;
import org.boragegap.http.HttpCall;
import org.boragegap.http.HttpClient;
import org.boragegap.http.HttpResult;
import org.boragegap.platform.Topics;
import org.boragegap.standin.CellTargetStandin;
import org.boragegap.standin.LoopbackPorts;
import org.boragegap.standin.SampleCalls;
import org.boragegap.standin.StoreStandin;

/**
 * Two entry VMs on the users' platform, in one process with stand-ins for its store and targets.
 */
final class EmbeddedCell {
    private static final String HOST = "127.0.0.1";
    private static final int ENTRY_VMS = 2;
    private static final int TARGETS = 6;

    /** Makes target ids differ as widely as real ones; 2^32 divided by the golden ratio. */
    private static final int ID_MULTIPLIER = 0x9E3779B9;

    private static final int TASKS_PER_JOB = 4;

    /** Run time of a task in ms, as the spec that the target stand-in reads. */
    private static final String TASK_MS = "5";

    private static final int CONNECTIONS = 4;
    private static final int OK = 200;

    /** Timeout of one answer, in ms; a job here takes about ten ms. */
    private static final long ANSWER_TIMEOUT_MS = 2_000;

    /** How often the first job is submitted at most; the cell is up after about a second. */
    private static final int MAX_STARTUP_TRIES = 100;

    /** Pause between two submissions of the first job, in ms. */
    private static final long RETRY_INTERVAL_MS = 100;

    private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(2);
    private final HttpClient mHttp = HttpClient.create(CONNECTIONS);
    private final List<CellTargetStandin> mTargets = new ArrayList<>();
    private final List<CellNode> mNodes = new ArrayList<>();
    private final List<String> mCallerAddresses = new ArrayList<>();
    private final StoreStandin mStore;
    private final int mStorePort;
    private int mNextJob = 1;

    private EmbeddedCell() throws IOException {
        mStorePort = LoopbackPorts.next();
        mStore = StoreStandin.create(HOST, mStorePort, mTimer);
    }

    /** Creates a deployment that isn't started yet; its entry VMs choose the layout. */
    static EmbeddedCell create() throws IOException {
        return new EmbeddedCell();
    }

    /** Creates a deployment whose store already contains a layout. */
    static EmbeddedCell withLayout(CellLayout layout) throws IOException {
        EmbeddedCell cell = new EmbeddedCell();
        cell.mStore.put(Topics.LAYOUT, Topics.CELLS_KEY, layout.text());
        return cell;
    }

    /** Tasks that were started on the targets that the layout assigns to a cell. */
    Set<String> startedTasks(CellLayout layout, int cell) {
        Set<String> started = new HashSet<>();
        for (int i = 0; i < TARGETS; i++) {
            if (layout.cellOfTarget(targetId(i)) == cell) {
                started.addAll(mTargets.get(i).starts().keySet());
            }
        }
        return started;
    }

    private static String targetId(int number) {
        return String.format("i-%08x", number * ID_MULTIPLIER);
    }

    void start() throws Exception {
        mStore.start();
        SampleCalls.putConfiguration(mStore, 1, "/jobs/");
        for (int i = 0; i < TARGETS; i++) {
            CellTargetStandin target =
                    CellTargetStandin.create(
                            targetId(i),
                            HOST,
                            LoopbackPorts.next(),
                            SampleCalls.SERVICE,
                            mStore,
                            mTimer);
            target.start();
            mTargets.add(target);
        }
        for (int i = 0; i < ENTRY_VMS; i++) {
            startEntryVm(i + 1);
        }
        mHttp.start();
    }

    void stop() {
        mHttp.stop();
        mNodes.forEach(CellNode::stop);
        mTargets.forEach(CellTargetStandin::stop);
        mStore.stop();
        mTimer.shutdownNow();
    }

    private void startEntryVm(long incarnation) throws Exception {
        String callerAddress = HOST + ":" + LoopbackPorts.next();
        String ini =
                String.join(
                        "\n",
                        "[vm]",
                        "failure_domain = local",
                        "peer_address = " + HOST + ":" + LoopbackPorts.next(),
                        "caller_address = " + callerAddress,
                        "operator_address = " + HOST + ":" + LoopbackPorts.next(),
                        "ready_address = " + HOST + ":" + LoopbackPorts.next(),
                        "metrics_address = " + HOST + ":" + LoopbackPorts.next(),
                        "[deployment]",
                        "failure_domains = local",
                        "[platform]",
                        "log = " + HOST + ":" + mStorePort,
                        "vm_list = " + HOST + ":" + mStorePort,
                        "store = " + HOST + ":" + mStorePort);
        Settings settings =
                ((Settings.ReadResult.Valid) Settings.parse("quickstart", ini)).settings();
        CellNode node = CellNode.create(settings, incarnation, CellNode.clock());
        node.start();
        mNodes.add(node);
        mCallerAddresses.add(callerAddress);
    }

    /**
     * Submits jobs one after the other, alternately to both entry VMs.
     *
     * @return how many of them were completed
     */
    int submitJobs(int jobs) throws InterruptedException {
        awaitFirstCompletion();
        int completed = 0;
        for (int i = 0; i < jobs; i++) {
            completed += submit(mCallerAddresses.get(i % ENTRY_VMS)) ? 1 : 0;
        }
        return completed;
    }

    private void awaitFirstCompletion() throws InterruptedException {
        for (int i = 0; i < MAX_STARTUP_TRIES && !submit(mCallerAddresses.get(0)); i++) {
            TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MS);
        }
    }

    private boolean submit(String address) throws InterruptedException {
        String path = String.format("/jobs/%016x", mNextJob++);
        String body = SampleCalls.jobBody(TASKS_PER_JOB, TASK_MS);
        CompletableFuture<HttpResult> answer = new CompletableFuture<>();
        mHttp.send(HttpCall.post(address, path, body, ANSWER_TIMEOUT_MS, answer::complete));
        try {
            HttpResult result = answer.get(2 * ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            return result instanceof HttpResult.Response response && response.status() == OK;
        } catch (ExecutionException | TimeoutException e) {
            System.err.println("no answer to " + path + ": " + e);
            return false;
        }
    }
}
