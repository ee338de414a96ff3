package org.boragegap.entry.cell;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragegap.core.ClockReading;
import org.boragegap.http.HttpCaller;
import org.boragegap.platform.GroupMember;
import org.boragegap.platform.GroupShare;
import org.boragegap.platform.StoreClient;
import org.boragegap.platform.StoreResult;

/** Keeps this VM in the group of entry VMs, and reads who else is in it. */
final class GroupKeeper {
    private static final Logger sLog = LogManager.getLogger(GroupKeeper.class);
    private static final String GROUP = "boragegap";

    /** Each cell has a topic, whose partition 0 is the cell. */
    private static final String CELL_TOPIC = "cell-";

    /**
     * Further topics, so that each member holds some partition and can be found by it: at twelve
     * partitions each, enough for sixty entry VMs.
     */
    private static final List<String> ROSTERS =
            List.of("roster-1", "roster-2", "roster-3", "roster-4", "roster-5");

    /** Joins within one lease: three may be lost. */
    private static final int JOINS_PER_LEASE = 4;

    /**
     * How often the list of members is read, in ms. VMs that come make themselves known, and a VM
     * that misses its controller reads more often; this is for those that went for good.
     */
    private static final long MEMBERS_EVERY_MS = 3_000;

    private static final long ANSWER_WITHIN_MS = 600;

    /** Least time between two reads of the members, in ms; a new controller asks as often. */
    private static final long LEAST_BETWEEN_READS_MS = 100;

    /** Between the parts of a member's name: address, incarnation, processor. */
    private static final String SEPARATOR = "/";

    private final StoreClient mStore;
    private final ScheduledExecutorService mTimer;
    private final String mAddress;
    private final String mMember;
    private final int mCpuMillis;
    private final long mGrantedMs;
    private long mLeaseMs;
    private final Supplier<Set<Integer>> mWanted;
    private final Joined mJoined;
    private final MembersRead mPeers;
    private volatile Set<String> mMembers = Set.of();
    private volatile long mGeneration;
    private volatile boolean mLeft;
    private boolean mLost;
    private boolean mStarted;
    private boolean mReadPlanned;
    private long mMembersReadMs;

    /** Takes the answers to joins. */
    interface Joined {
        /**
         * The store answered a join.
         *
         * @param generation of the group
         * @param held cells that are dealt to this VM
         * @param sent when the join was sent
         */
        void joined(long generation, Set<Integer> held, ClockReading sent);
    }

    /** Takes who is in the group. */
    interface MembersRead {
        /**
         * The store answered.
         *
         * @param peers peer addresses of the others
         * @param askedMs when it was asked, on the monotonic clock, in ms
         */
        void read(Set<String> peers, long askedMs);
    }

    GroupKeeper(
            StoreClient store,
            ScheduledExecutorService timer,
            String address,
            long incarnation,
            int cpuMillis,
            long leaseMs,
            Supplier<Set<Integer>> wanted,
            Joined joined,
            MembersRead peers) {
        mStore = store;
        mTimer = timer;
        mAddress = address;
        // Another life of this VM is another member: what the earlier one held is dealt anew.
        mMember = address + SEPARATOR + incarnation + SEPARATOR + cpuMillis;
        mCpuMillis = cpuMillis;
        mGrantedMs = leaseMs;
        mLeaseMs = leaseMs;
        mWanted = wanted;
        mJoined = joined;
        mPeers = peers;
    }

    /** Asks for a longer lease from now on; to be called on the timer's thread. */
    void atLeast(long leaseMs) {
        mLeaseMs = Math.max(mGrantedMs, leaseMs);
    }

    /** Joins from now on; to be called on the timer's thread, and again without effect. */
    void start() {
        if (mStarted) {
            return;
        }
        mStarted = true;
        long everyMs = mGrantedMs / JOINS_PER_LEASE;
        mTimer.scheduleAtFixedRate(this::join, 0, everyMs, TimeUnit.MILLISECONDS);
        mTimer.scheduleWithFixedDelay(
                this::readMembers, everyMs, MEMBERS_EVERY_MS, TimeUnit.MILLISECONDS);
    }

    void join() {
        if (mLeft) {
            return;
        }
        ClockReading sent = ControlThread.clock();
        List<String> topics = new ArrayList<>(ROSTERS);
        mWanted.get().forEach(cell -> topics.add(CELL_TOPIC + cell));
        mStore.join(
                GROUP,
                mMember,
                topics,
                mLeaseMs,
                mGeneration,
                ANSWER_WITHIN_MS,
                result -> mTimer.execute(() -> joined(sent, result)));
    }

    private void joined(ClockReading sent, StoreResult<GroupShare> result) {
        if (mLeft) {
            return;
        }
        if (!(result instanceof StoreResult.Good<GroupShare> good)) {
            if (!mLost) {
                sLog.warn("can't join the group: {}", result);
            }
            mLost = true;
            return;
        }
        if (mLost) {
            sLog.info("joined the group again");
        }
        mLost = false;
        GroupShare share = good.value();
        mGeneration = Math.max(mGeneration, share.generation());
        mJoined.joined(share.generation(), cells(share), sent);
    }

    private static Set<Integer> cells(GroupShare share) {
        Set<Integer> cells = new HashSet<>();
        for (GroupShare.Partition partition : share.partitions()) {
            if (partition.topic().startsWith(CELL_TOPIC) && partition.number() == 0) {
                cells.add(Integer.parseInt(partition.topic().substring(CELL_TOPIC.length())));
            }
        }
        return cells;
    }

    /**
     * Reads the members, now or as soon as it may. Each cell that misses its controller asks for
     * it; with eight cells on 47 VMs that was a thousand calls to the store a second.
     */
    void readMembers() {
        long waitMs = mMembersReadMs + LEAST_BETWEEN_READS_MS - HttpCaller.nowMs();
        if (waitMs <= 0) {
            mMembersReadMs = HttpCaller.nowMs();
            readNow();
        } else if (!mReadPlanned) {
            mReadPlanned = true;
            mTimer.schedule(this::readAsPlanned, waitMs, TimeUnit.MILLISECONDS);
        }
    }

    private void readAsPlanned() {
        mReadPlanned = false;
        readMembers();
    }

    private void readNow() {
        long askedMs = HttpCaller.nowMs();
        mStore.members(
                GROUP,
                ANSWER_WITHIN_MS,
                result -> mTimer.execute(() -> membersRead(result, askedMs)));
    }

    private void membersRead(StoreResult<List<GroupMember>> result, long askedMs) {
        if (!(result instanceof StoreResult.Good<List<GroupMember>> good)) {
            return;
        }
        Set<String> peers = new HashSet<>();
        Set<String> members = new HashSet<>();
        for (GroupMember member : good.value()) {
            int end = member.member().indexOf(SEPARATOR);
            if (end > 0) {
                peers.add(member.member().substring(0, end));
                members.add(member.member());
            }
        }
        peers.remove(mAddress);
        mMembers = members;
        mPeers.read(peers, askedMs);
    }

    /** Processor of each VM of the group, as last read, in thousandths of a core. */
    List<Integer> cpuMillis() {
        Set<String> others = new HashSet<>(mMembers);
        others.remove(mMember);
        List<Integer> cpuMillis = new ArrayList<>(List.of(mCpuMillis));
        for (String member : others) {
            String last = member.substring(member.lastIndexOf(SEPARATOR) + 1);
            try {
                cpuMillis.add(Integer.parseInt(last));
            } catch (NumberFormatException e) {
                sLog.warn("group: the member {} doesn't tell its processor", member);
            }
        }
        return cpuMillis;
    }

    /** Leaves the group, so that another VM gets the cell at once. */
    void leave() {
        if (mLeft) {
            return;
        }
        mLeft = true;
        mStore.leave(
                GROUP,
                mMember,
                ANSWER_WITHIN_MS,
                result -> sLog.info("left the group: {}", result));
    }
}
