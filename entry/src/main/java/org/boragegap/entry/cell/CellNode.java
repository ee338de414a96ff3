package org.boragegap.entry.cell;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragegap.core.ClockReading;
import org.boragegap.core.cell.CellAction;
import org.boragegap.core.cell.CellLayout;
import org.boragegap.core.cell.CellMember;
import org.boragegap.core.cell.CellMessage;
import org.boragegap.core.cell.CellSettings;
import org.boragegap.core.cell.EntryAction;
import org.boragegap.core.cell.EntryEvent;
import org.boragegap.core.cell.MemberEvent;
import org.boragegap.core.cell.Membership;
import org.boragegap.core.cell.TargetInfo;
import org.boragegap.core.loan.LenderDirectory;
import org.boragegap.entry.Setting;
import org.boragegap.entry.Settings;
import org.boragegap.http.HttpClient;
import org.boragegap.http.HttpEndpoint;
import org.boragegap.http.IncomingRequest;
import org.boragegap.platform.ConfigurationReader;
import org.boragegap.platform.PlatformException;
import org.boragegap.platform.StoreClient;
import org.boragegap.platform.TargetListDecoder;
import org.boragegap.platform.TargetOrderClient;
import org.boragegap.platform.Topics;
import org.boragegap.wire.PeerMessage;

/** An entry process on the users' platform: creates, starts and stops all its parts. */
public final class CellNode {
    private static final Logger sLog = LogManager.getLogger(CellNode.class);
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int SMALL_BODY_BYTES = 4_096;

    /** Interval between checks of the connections to peers, in ms: several in each timeout. */
    private static final long PROBE_INTERVAL_MS = 250;

    /** Interval at which the metrics are updated from the control state, in ms. */
    private static final long METRICS_INTERVAL_MS = 1_000;

    /**
     * How long the store may wait for a change before it answers a read of the configuration, in
     * ms. A change must be active within two seconds, even when the connection goes silent during a
     * read, which is noticed half a second after this time. A shorter time means more calls to the
     * store.
     */
    private static final long CONFIG_WAIT_MS = 1_000;

    private static final long CONFIG_PAUSE_MS = 20;

    /**
     * Pause between two reads of the list of targets, in ms: a target that is leaving must no
     * longer be used after 2 s.
     */
    private static final long TARGETS_PAUSE_MS = 400;

    /**
     * How long a stopping process still accepts callers, in ms, while it reports that it is not
     * ready. The platform checks readiness once a second and sends new callers elsewhere after two
     * failed checks. Without this delay, callers that came in between were refused: one in ten
     * during a rolling restart.
     */
    private static final long SERVE_ON_MS = 2_200;

    /** Interval at which a stopping process checks whether all callers are answered, in ms. */
    private static final long DRAIN_CHECK_INTERVAL_MS = 20;

    private final ClockReading mBegan;
    private final Settings mSettings;
    private final String mSelf;
    private final HttpClient mHttp;
    private final StoreClient mStore;
    private final TargetOrderClient mOrders;
    private final CellPeers mPeers;
    private final CellMetrics mMetrics = new CellMetrics();
    private final JobApi mJobs;
    private final LayoutResolver mLayout;
    private final ControlThread mThread;
    private final GroupMembership mGroup;
    private final TopicWatcher mConfigWatcher;
    private final TopicWatcher mTargetsWatcher;
    private final TargetListDecoder mListedTargets = TargetListDecoder.create();
    private final List<HttpEndpoint> mEndpoints = new ArrayList<>();
    private final ScheduledExecutorService mTimer = timer();
    private final CountDownLatch mDrained = new CountDownLatch(1);
    private volatile Cells mCells = Cells.none();

    /** Used by the control thread only. */
    private final LenderDirectory mLenders = LenderDirectory.create();

    /** Failure domains to be evacuated, once known. Used by the control thread only. */
    private Optional<Set<String>> mEvacuatedDomains = Optional.empty();

    private volatile boolean mDraining;

    private CellNode(Settings settings, long incarnation, ClockReading began) {
        mBegan = began;
        mSettings = settings;
        mSelf = settings.text(Setting.PEER_ADDRESS);
        mHttp = HttpClient.create((int) settings.number(Setting.CONNECTIONS));
        mStore = StoreClient.create(mHttp, settings.text(Setting.STORE_ADDRESS));
        mOrders = TargetOrderClient.create(mHttp);
        mPeers =
                new CellPeers(
                        settings.host(Setting.PEER_ADDRESS),
                        settings.port(Setting.PEER_ADDRESS),
                        mSelf,
                        this::received);
        mMetrics.settingsReplaced(settings.replacedValues().size());
        mThread =
                new ControlThread(
                        () -> mCells.tick(), () -> mCells.tickIntervalMs(), mPeers::flush);
        mJobs = new JobApi(new ApiCallbacks(), mMetrics);
        mGroup =
                new GroupMembership(
                        mStore,
                        mTimer,
                        mSelf,
                        incarnation,
                        settings.cpuMillis(),
                        settings.number(Setting.GROUP_LEASE_MS),
                        () -> mCells.wantedCells(),
                        this::joined,
                        this::membersRead);
        mLayout =
                new LayoutResolver(
                        mStore, mTimer, mGroup::start, mGroup::cpuMillis, this::layoutKnown);
        mConfigWatcher =
                new TopicWatcher(
                        mStore,
                        mTimer,
                        Topics.OPERATORS,
                        CONFIG_WAIT_MS,
                        CONFIG_PAUSE_MS,
                        this::operatorsChanged);
        mTargetsWatcher =
                new TopicWatcher(
                        mStore, mTimer, Topics.TARGETS, 0, TARGETS_PAUSE_MS, this::targetsChanged);
    }

    /**
     * Creates an entry process that is not started.
     *
     * @param settings checked settings
     * @param incarnation number of this process; larger for later processes at the same address
     * @param began clock reading taken after this process began; all that an earlier process did
     *     was over by then
     */
    public static CellNode create(Settings settings, long incarnation, ClockReading began) {
        return new CellNode(settings, incarnation, began);
    }

    /** Reads the monotonic clock and the wall clock that this package uses. */
    public static ClockReading clock() {
        return ControlThread.clock();
    }

    /** Creates a timer that drops tasks, such as late answers, once it has been shut down. */
    private static ScheduledExecutorService timer() {
        ScheduledThreadPoolExecutor timer =
                new ScheduledThreadPoolExecutor(1, CellNode::timerThread);
        timer.setRejectedExecutionHandler(new ThreadPoolExecutor.DiscardPolicy());
        return timer;
    }

    private static Thread timerThread(Runnable task) {
        Thread thread = new Thread(task, "timer");
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Starts all parts, or none. If the others kept running when an address is already in use, this
     * VM would stay in the group and could be assigned a cell, although it accepts no callers.
     */
    public void start() throws IOException {
        try {
            startParts();
        } catch (IOException e) {
            stop();
            throw e;
        }
    }

    private void startParts() throws IOException {
        mHttp.start();
        mPeers.start();
        mThread.start();
        mConfigWatcher.start();
        mLayout.start();
        mTimer.scheduleWithFixedDelay(
                this::probePeers, PROBE_INTERVAL_MS, PROBE_INTERVAL_MS, TimeUnit.MILLISECONDS);
        mTimer.scheduleWithFixedDelay(
                this::updateMetrics,
                METRICS_INTERVAL_MS,
                METRICS_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
        int bodyBytes = (int) mSettings.number(Setting.BODY_BYTES);
        listen("callers", Setting.CALLER_ADDRESS, bodyBytes, mJobs::handle);
        listen("ready", Setting.READY_ADDRESS, SMALL_BODY_BYTES, this::handleReadiness);
        listen("metrics", Setting.METRICS_ADDRESS, SMALL_BODY_BYTES, this::handleMetrics);
        sLog.info("entry VM {} takes callers", mSelf);
    }

    private void listen(String name, Setting address, int bodyBytes, HttpEndpoint.Handler handler)
            throws IOException {
        if (mSettings.text(address).isEmpty()) {
            return;
        }
        HttpEndpoint endpoint =
                HttpEndpoint.create(
                        name, mSettings.host(address), mSettings.port(address), bodyBytes, handler);
        endpoint.start();
        mEndpoints.add(endpoint);
    }

    /** Creates this VM's member of each cell of the layout, and joins the group. */
    private void layoutKnown(CellLayout layout) {
        sLog.info("group lease: {} ms", groupLeaseMs(layout));
        ClockReading began = mBegan;
        int cpuMillis = mSettings.cpuMillis();
        mThread.post(
                () -> {
                    mCells =
                            Cells.create(
                                    layout,
                                    cpuMillis,
                                    began.monotonicMs(),
                                    cell -> createDriver(cell, layout, cpuMillis, began));
                    mEvacuatedDomains.ifPresent(mCells::domainsEvacuated);
                    mTimer.execute(() -> mGroup.minLeaseMs(layout.minLeaseMs()));
                    mTimer.execute(mGroup::start);
                    mTimer.execute(mGroup::join);
                });
    }

    private CellMemberDriver createDriver(
            int cell, CellLayout layout, int cpuMillis, ClockReading began) {
        CellSettings settings =
                new CellSettings(
                        mSettings.number(Setting.TARGET_LEASE_MS),
                        mSettings.decimal(Setting.FAR_FACTOR),
                        mSettings.text(Setting.SPEED_PLACEMENT).equals("on"));
        CellMember member = CellMember.create(mSelf, cell, settings, groupLeaseMs(layout), began);
        member.deployment(layout.cells(), cpuMillis);
        if (mSettings.flag(Setting.FIRST_START)) {
            member.firstStart();
        }
        if (mSettings.text(Setting.LOANS).equals("on")) {
            member.lendAndBorrow(mLenders);
        }
        return new CellMemberDriver(cell, member, new Output(cell), mMetrics);
    }

    private long groupLeaseMs(CellLayout layout) {
        return Math.max(mSettings.number(Setting.GROUP_LEASE_MS), layout.minLeaseMs());
    }

    private void joined(long generation, Set<Integer> assigned, ClockReading sent) {
        mThread.post(
                () -> {
                    Cells cells = mCells;
                    for (int cell = 0; cell < cells.count(); cell++) {
                        boolean holds = assigned.contains(cell);
                        cells.on(cell, new MemberEvent.Joined(generation, holds, sent));
                    }
                });
    }

    private void membersRead(Set<String> peers, long askedMs) {
        int medianCpuMillis = mGroup.medianCpuMillis();
        mThread.post(
                () -> {
                    mCells.onAll(new MemberEvent.PeerProcessorKnown(medianCpuMillis));
                    mCells.onAll(new MemberEvent.PeersListed(peers, askedMs));
                });
    }

    private void handleReadiness(IncomingRequest in) {
        boolean ready = !mDraining && mJobs.configured() && mCells.canServeCallers();
        in.reply(ready ? OK : UNAVAILABLE, "{}");
    }

    private void handleMetrics(IncomingRequest in) {
        in.reply(OK, "text/plain; version=0.0.4", Map.of(), mMetrics.scrape());
    }

    private void probePeers() {
        mPeers.probe(HttpClient.nowMs());
    }

    private void updateMetrics() {
        mThread.post(
                () ->
                        mMetrics.update(
                                mCells.state(), mCells.waitingCallers(), mJobs.configVersion()));
    }

    private void operatorsChanged(Map<String, byte[]> records) {
        configChanged(records);
        evacuationsChanged(Topics.evacuatedDomains(records.keySet()));
    }

    private void evacuationsChanged(Set<String> domains) {
        mThread.post(
                () -> {
                    mEvacuatedDomains = Optional.of(domains);
                    mCells.domainsEvacuated(domains);
                });
    }

    private void configChanged(Map<String, byte[]> records) {
        byte[] value = records.get(Topics.CONFIGURATION_KEY);
        if (value == null) {
            return;
        }
        try {
            mJobs.configure(ConfigurationReader.decode(value));
        } catch (PlatformException e) {
            sLog.error("invalid configuration, the last one stays in force: {}", e.getMessage());
        }
    }

    private void targetsChanged(Map<String, byte[]> records) {
        // Targets rewrite their entries all the time, and most belong to cells of other VMs.
        Cells cells = mCells;
        Map<String, byte[]> watched = new HashMap<>(records);
        watched.keySet().removeIf(id -> !cells.watchesTarget(id));
        List<TargetInfo> targets = new ArrayList<>(mListedTargets.decode(watched));
        // A service that the configuration doesn't name is of another deployment: its targets may
        // never answer, and a new controller waits for the answers of all.
        targets.removeIf(target -> !mJobs.knowsService(target.service()));
        mThread.post(() -> mCells.targetsListed(targets));
    }

    /** Begins a graceful shutdown; further calls have no effect. */
    public void drain() {
        if (mDraining) {
            return;
        }
        mDraining = true;
        mJobs.closeConnectionsAfterReply();
        sLog.info("draining");
        mThread.post(() -> mCells.onAll(new MemberEvent.Resigned()));
        mTimer.schedule(this::refuseNewCallers, SERVE_ON_MS, TimeUnit.MILLISECONDS);
    }

    /** Refuses new callers, and leaves the group once all is answered and it may leave. */
    private void refuseNewCallers() {
        sLog.info("draining: accepts no more callers");
        mThread.post(() -> mCells.onAll(new MemberEvent.Draining()));
        mTimer.scheduleWithFixedDelay(
                this::leaveWhenDrained,
                DRAIN_CHECK_INTERVAL_MS,
                DRAIN_CHECK_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    private void leaveWhenDrained() {
        mThread.post(
                () -> {
                    if (mCells.waitingCallers() == 0 && mCells.mayLeave()) {
                        mGroup.leave();
                        mDrained.countDown();
                    }
                });
    }

    /** Waits until this VM has drained, for {@link Setting#DRAIN_MS} at most. */
    public void awaitDrained() throws InterruptedException {
        boolean all = mDrained.await(mSettings.number(Setting.DRAIN_MS), TimeUnit.MILLISECONDS);
        sLog.info(all ? "drained: all callers are answered" : "draining: timeout reached");
    }

    /** Stops all parts at once, without draining. */
    public void stop() {
        mEndpoints.forEach(HttpEndpoint::stop);
        mThread.stop();
        mPeers.stop();
        mHttp.stop();
        mTimer.shutdownNow();
    }

    private void received(List<PeerMessage.Cell> messages) {
        mThread.post(() -> messages.forEach(this::deliver));
    }

    private void deliver(PeerMessage.Cell cell) {
        mCells.on(cell.cell(), new MemberEvent.Received(cell.from(), cell.message()));
    }

    private final class ApiCallbacks implements JobApi.Callbacks {
        @Override
        public OptionalInt cellOfJob(String id) {
            Cells cells = mCells;
            return cells.layoutKnown() ? OptionalInt.of(cells.cellOfJob(id)) : OptionalInt.empty();
        }

        @Override
        public boolean canServeCallers() {
            return mCells.canServeCallers();
        }

        @Override
        public void on(int cell, EntryEvent event) {
            mThread.post(() -> mCells.on(cell, event));
        }
    }

    private final class Output implements CellOutput {
        private final int mCell;
        private final OrderSender mOrderSender;

        private final CellPeers.Channel mChannel;

        private Output(int cell) {
            mCell = cell;
            mChannel = mPeers.channel(cell);
            mOrderSender =
                    new OrderSender(mOrders, event -> mThread.post(() -> mCells.on(mCell, event)));
        }

        @Override
        public void send(String address, CellMessage message) {
            mChannel.send(address, message);
        }

        @Override
        public void sendToCell(String address, int cell, CellMessage message) {
            if (address.equals(mSelf)) {
                MemberEvent event = new MemberEvent.Received(mSelf, message);
                mThread.post(() -> mCells.on(cell, event));
            } else {
                mPeers.channel(cell).send(address, message);
            }
        }

        @Override
        public void extend(CellAction.ExtendLease order) {
            mOrderSender.extend(order);
        }

        @Override
        public void start(CellAction.StartRun order) {
            mOrderSender.start(order);
        }

        @Override
        public void stop(CellAction.StopRun order) {
            mOrderSender.stop(order);
        }

        @Override
        public void reply(EntryAction.Reply reply) {
            mJobs.reply(reply);
        }

        @Override
        public void watchTargets(boolean watch) {
            boolean anyWatching = mCells.watchTargets(mCell, watch);
            if (watch) {
                // Starts over, so that this cell receives the whole list, too.
                mTargetsWatcher.start();
            } else if (!anyWatching) {
                mTargetsWatcher.stop();
            }
        }

        @Override
        public void readMembers() {
            mTimer.execute(mGroup::readMembers);
        }

        @Override
        public void checkHold(Membership.HoldCheck check) {
            mGroup.checkHold(mCell, check, answer -> mThread.post(() -> mCells.on(mCell, answer)));
        }

        @Override
        public void rejoin() {
            mTimer.execute(mGroup::join);
        }
    }
}
