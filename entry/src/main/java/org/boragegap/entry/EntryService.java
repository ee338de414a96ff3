package org.boragegap.entry;

import com.fasterxml.uuid.Generators;
import com.fasterxml.uuid.impl.TimeBasedEpochGenerator;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragegap.core.claim.ClaimLimits;
import org.boragegap.core.claim.Member;
import org.boragegap.core.dispatch.Action;
import org.boragegap.core.dispatch.CallerRef;
import org.boragegap.core.dispatch.DispatchSettings;
import org.boragegap.core.dispatch.Dispatcher;
import org.boragegap.core.dispatch.Event;
import org.boragegap.core.job.SubmissionId;
import org.boragegap.core.limit.QueueOrder;
import org.boragegap.core.placement.PlacementPolicy;
import org.boragegap.http.HttpClient;
import org.boragegap.http.HttpEndpoint;
import org.boragegap.platform.LogClient;
import org.boragegap.platform.TargetClient;
import org.boragegap.platform.VmListClient;
import org.boragegap.wire.PeerListener;
import org.boragegap.wire.PeerMessage;
import org.boragegap.wire.PeerTransport;

/** An entry process: creates, starts and stops all its components. */
public final class EntryService {
    private static final Logger sLog = LogManager.getLogger(EntryService.class);
    private static final int NETWORK_THREADS = 2;
    private static final long PROBE_INTERVAL_MS = 1_000;
    private static final long VM_UNLISTED_MS = 60_000;
    private static final long FLUSH_TIMEOUT_MS = 1_000;
    private static final int OPERATOR_BODY_BYTES = 8 * 1024 * 1024;

    private final Settings mSettings;
    private final Member mSelf;
    private final HttpClient mHttp;
    private final PeerTransport mPeers;
    private final ControlLoop mLoop;
    private final LogPoller mLogPoller;
    private final VmListClient mVmList;
    private final CallerApi mCallerApi;
    private final JobStatusLookup mStatusLookup;
    private final BundleChecker mChecker;
    private final Metrics mMetrics = new Metrics();
    private final HttpEndpoint mCallerEndpoint;
    private final HttpEndpoint mOperatorEndpoint;
    private final ExecutorService mNetworkExecutor;
    private final ScheduledExecutorService mTimer =
            Executors.newSingleThreadScheduledExecutor(task -> newDaemonThread(task, "timer"));
    private final ActionRunner mRunner;
    private final CountDownLatch mDrained = new CountDownLatch(1);
    private final AtomicReference<Action.ReportDrained> mDrainSummary = new AtomicReference<>();

    private EntryService(Settings settings, long incarnation) throws EntryException {
        mSettings = settings;
        mSelf = new Member(settings.text(Setting.PEER_ADDRESS), incarnation);
        mNetworkExecutor =
                Executors.newFixedThreadPool(
                        NETWORK_THREADS, task -> newDaemonThread(task, "traffic"));
        mHttp = HttpClient.create((int) settings.number(Setting.CONNECTIONS));
        mChecker =
                BundleChecker.create(
                        settings.text(Setting.SIGNERS), settings.number(Setting.SIGNATURES));
        mStatusLookup = new JobStatusLookup(mTimer);
        mPeers =
                PeerTransport.create(
                        settings.host(Setting.PEER_ADDRESS),
                        settings.port(Setting.PEER_ADDRESS),
                        new PeerMessageHandler());
        LogClient log = LogClient.create(mHttp, settings.text(Setting.LOG_ADDRESS));
        mVmList = VmListClient.create(mHttp, settings.text(Setting.VM_LIST_ADDRESS));
        TargetClient targets = TargetClient.create(mHttp);
        mRunner = new ActionRunner(mSelf, targets, log, mPeers, mNetworkExecutor);
        mLoop = new ControlLoop(newDispatcher(), mRunner);
        mLogPoller =
                new LogPoller(
                        log, mChecker, mLoop::post, mTimer, settings.number(Setting.LOG_POLL_MS));
        JobBodyParser reader =
                new JobBodyParser(settings.number(Setting.TASKS_PER_JOB), this::mintId);
        mCallerApi = new CallerApi(reader, mLoop, mStatusLookup);
        mRunner.connect(mCallerApi, mLogPoller, mLoop::post, this::onDrained);
        mStatusLookup.connect(mLoop, mPeers);
        BundleApi bundles = new BundleApi(log, mChecker, mTimer, mLoop, mLogPoller);
        OperatorApi operators =
                new OperatorApi(readOperatorKey(), mLoop, mMetrics, bundles, this::drain);
        mCallerEndpoint =
                HttpEndpoint.create(
                        "callers",
                        settings.host(Setting.CALLER_ADDRESS),
                        settings.port(Setting.CALLER_ADDRESS),
                        (int) settings.number(Setting.BODY_BYTES),
                        mCallerApi::handle);
        mOperatorEndpoint =
                HttpEndpoint.create(
                        "operators",
                        settings.host(Setting.OPERATOR_ADDRESS),
                        settings.port(Setting.OPERATOR_ADDRESS),
                        OPERATOR_BODY_BYTES,
                        operators::handle);
    }

    /**
     * Creates an entry process.
     *
     * @param settings checked settings
     * @param incarnation number of this run of the process, larger for later runs at the same
     *     address
     * @throws EntryException if the settings can't be used
     */
    public static EntryService create(Settings settings, long incarnation) throws EntryException {
        return new EntryService(settings, incarnation);
    }

    private static Thread newDaemonThread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    private String readOperatorKey() throws EntryException {
        String file = mSettings.text(Setting.OPERATOR_KEY_FILE);
        if (file.isEmpty()) {
            return "";
        }
        try {
            return Files.readString(Path.of(file)).trim();
        } catch (IOException e) {
            throw new EntryException("[operators] key_file = " + file + ": can't be read", e);
        }
    }

    private Dispatcher newDispatcher() {
        Settings settings = mSettings;
        DispatchSettings dispatch =
                new DispatchSettings(
                        settings.text(Setting.FAILURE_DOMAIN),
                        settings.names(Setting.FAILURE_DOMAINS),
                        PlacementPolicy.valueOf(settings.text(Setting.PLACEMENT)),
                        QueueOrder.valueOf(settings.text(Setting.ORDER)),
                        (int) settings.number(Setting.QUEUED_TASKS),
                        settings.flag(Setting.REFUSE_HOPELESS),
                        settings.number(Setting.ANSWER_KEEP_MS),
                        settings.number(Setting.START_GRACE_MS),
                        settings.number(Setting.RETRY_PERCENT) / 100.0,
                        10);
        ClaimLimits limits =
                new ClaimLimits(
                        settings.number(Setting.ID_WINDOW_MS),
                        settings.number(Setting.CLOCK_SKEW_MS),
                        settings.number(Setting.CLAIM_TIMEOUT_MS),
                        settings.number(Setting.RESEND_MS),
                        settings.number(Setting.SUSPECT_MS),
                        settings.number(Setting.LOG_RETENTION_MS),
                        settings.number(Setting.CLAIM_LEASE_MS),
                        VM_UNLISTED_MS);
        RandomGenerator random =
                new java.util.SplittableRandom(mSelf.incarnation() ^ mSelf.address().hashCode());
        return Dispatcher.create(mSelf, dispatch, limits, random);
    }

    private final TimeBasedEpochGenerator mIdGenerator = Generators.timeBasedEpochGenerator();

    private SubmissionId mintId() {
        return SubmissionId.mint(
                mSettings.text(Setting.FAILURE_DOMAIN), mSelf.address(), mIdGenerator.generate());
    }

    /** Starts all components. */
    public void start() throws IOException {
        mHttp.start();
        mPeers.start();
        mLoop.start();
        mLogPoller.start();
        schedulePeriodically(mSettings.number(Setting.VM_LIST_POLL_MS), this::pollVmList);
        schedulePeriodically(PROBE_INTERVAL_MS, () -> mPeers.probe(HttpClient.nowMs()));
        schedulePeriodically(PROBE_INTERVAL_MS, this::updateMetrics);
        mOperatorEndpoint.start();
        mCallerEndpoint.start();
        sLog.info(
                "entry VM {} incarnation {} of failure domain {} takes callers at {}",
                mSelf.address(),
                mSelf.incarnation(),
                mSettings.text(Setting.FAILURE_DOMAIN),
                mSettings.text(Setting.CALLER_ADDRESS));
    }

    private void schedulePeriodically(long periodMs, Runnable task) {
        mTimer.scheduleWithFixedDelay(task, 0, periodMs, TimeUnit.MILLISECONDS);
    }

    private void pollVmList() {
        mVmList.read(list -> list.ifPresent(vms -> mLoop.post(new Event.VmsListed(vms.vms()))));
    }

    private void updateMetrics() {
        mLoop.query(dispatcher -> dispatcher.state(ControlLoop.readClock()))
                .thenAccept(mMetrics::update);
    }

    /** Begins a graceful shutdown; a second call changes nothing. */
    public void drain() {
        sLog.info("draining");
        mLoop.post(new Event.DrainRequested(mSettings.number(Setting.DRAIN_MS)));
    }

    private void onDrained(Action.ReportDrained drained) {
        mDrainSummary.set(drained);
        mDrained.countDown();
    }

    /**
     * Waits until the drain is over, then for up to about three seconds until its last record is on
     * the log and its answers have been sent.
     */
    public void awaitDrained() throws InterruptedException {
        mDrained.await();
        mRunner.awaitAppends(FLUSH_TIMEOUT_MS);
        mNetworkExecutor.shutdown();
        mNetworkExecutor.awaitTermination(1, TimeUnit.SECONDS);
        mCallerEndpoint.drain(FLUSH_TIMEOUT_MS);
        Action.ReportDrained summary = mDrainSummary.get();
        sLog.info(
                "drained: {} submissions answered since the drain began, {} of them failed"
                        + " because the drain's time limit was reached",
                summary.finished(),
                summary.failed());
    }

    /** Stops all components at once, without a drain. */
    public void stop() {
        mCallerEndpoint.stop();
        mOperatorEndpoint.stop();
        mLoop.stop();
        mPeers.stop();
        mHttp.stop();
        mTimer.shutdownNow();
        mNetworkExecutor.shutdownNow();
    }

    private final class PeerMessageHandler implements PeerListener {
        @Override
        public void onMessage(long link, PeerMessage message) {
            if (message instanceof PeerMessage.Claims claims) {
                mLoop.post(new Event.ClaimMessageReceived(claims.from(), claims.message()));
            } else if (message instanceof PeerMessage.Loans loans) {
                mLoop.post(new Event.LoanMessageReceived(loans.from(), loans.message()));
            } else if (message instanceof PeerMessage.Forward forward) {
                CallerRef caller = new CallerRef.PeerCaller(link, forward.forwardId());
                mLoop.post(
                        new Event.Submitted(caller, forward.submission(), false, forward.hops()));
            } else if (message instanceof PeerMessage.ForwardAnswer answer) {
                mLoop.post(new Event.ForwardAnswered(answer.forwardId(), answer.answer()));
            } else if (message instanceof PeerMessage.Cancel cancel) {
                mLoop.post(new Event.Cancelled(cancel.id(), cancel.hops()));
            } else if (message instanceof PeerMessage.BundleVersion version) {
                mLoop.post(new Event.BundleVersionReceived(link, version.version()));
            } else if (message instanceof PeerMessage.BundleIs is) {
                mLoop.post(new Event.BundleReceived(mChecker.check(is.bundle())));
            } else if (message instanceof PeerMessage.Ask ask) {
                mStatusLookup.onAsked(link, ask);
            } else if (message instanceof PeerMessage.Told told) {
                mStatusLookup.onTold(told);
            }
        }

        @Override
        public void onLost(String address, PeerMessage message, boolean sent) {
            if (message instanceof PeerMessage.Forward forward) {
                mLoop.post(new Event.ForwardLost(forward.forwardId(), sent));
            }
        }
    }
}
