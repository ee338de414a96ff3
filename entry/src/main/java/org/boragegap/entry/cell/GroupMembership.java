package org.boragegap.entry.cell;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragegap.core.ClockReading;
import org.boragegap.core.cell.MemberEvent;
import org.boragegap.core.cell.Membership;
import org.boragegap.http.HostAndPort;
import org.boragegap.http.HttpClient;
import org.boragegap.platform.GroupAssignment;
import org.boragegap.platform.GroupMember;
import org.boragegap.platform.StoreClient;
import org.boragegap.platform.StoreResult;

/** Keeps this VM a member of the group of entry VMs, and reads the list of members. */
final class GroupMembership {
    private static final Logger sLog = LogManager.getLogger(GroupMembership.class);
    private static final String GROUP = "boragegap";

    /** Each cell has a topic with this prefix; the holder of its partition 0 holds the cell. */
    private static final String CELL_TOPIC_PREFIX = "cell-";

    private static final Pattern CELL_TOPIC = Pattern.compile(CELL_TOPIC_PREFIX + "([0-9]{1,4})");

    /**
     * Further topics, so that each member holds some partition: only those that do are listed. With
     * twelve partitions each, they are enough for sixty entry VMs.
     */
    private static final List<String> ROSTER_TOPICS =
            List.of("roster-1", "roster-2", "roster-3", "roster-4", "roster-5");

    /** Number of joins sent during one lease; three of them may be lost. */
    private static final int JOINS_PER_LEASE = 4;

    /**
     * Interval between reads of the list of members, in ms. New VMs announce themselves, and a VM
     * that has no contact with a controller reads the list more often; this read finds VMs that
     * have left permanently.
     */
    private static final long MEMBERS_POLL_MS = 3_000;

    private static final long ANSWER_TIMEOUT_MS = 600;

    /** Shortest interval between reads of the members, in ms; a new controller reads as often. */
    private static final long MIN_READ_INTERVAL_MS = 100;

    /** Separates the parts of a member's name: address, incarnation, CPU capacity. */
    private static final String NAME_SEPARATOR = "/";

    private final StoreClient mStore;
    private final ScheduledExecutorService mTimer;
    private final String mAddress;
    private final String mMemberName;
    private final int mCpuMillis;
    private final long mConfiguredLeaseMs;
    private long mLeaseMs;
    private final Supplier<Set<Integer>> mWantedCells;
    private final JoinListener mJoinListener;
    private final MembersListener mMembersListener;
    private volatile Set<String> mMembers = Set.of();
    private volatile long mGeneration;
    private volatile boolean mLeft;
    private boolean mJoinFailing;
    private boolean mStarted;
    private boolean mReadScheduled;
    private long mMembersReadMs;

    /** Receives the answers to joins. */
    interface JoinListener {
        /**
         * The store answered a join.
         *
         * @param generation of the group
         * @param assigned cells that are assigned to this VM
         * @param sent when the join was sent
         */
        void joined(long generation, Set<Integer> assigned, ClockReading sent);
    }

    /** Receives the list of members. */
    interface MembersListener {
        /**
         * The store answered with the list.
         *
         * @param peers peer addresses of the others
         * @param askedMs when it was asked, on the monotonic clock, in ms
         */
        void membersRead(Set<String> peers, long askedMs);
    }

    GroupMembership(
            StoreClient store,
            ScheduledExecutorService timer,
            String address,
            long incarnation,
            int cpuMillis,
            long leaseMs,
            Supplier<Set<Integer>> wantedCells,
            JoinListener joinListener,
            MembersListener membersListener) {
        mStore = store;
        mTimer = timer;
        mAddress = address;
        // A restarted process is another member: what the earlier one held is assigned anew.
        mMemberName = address + NAME_SEPARATOR + incarnation + NAME_SEPARATOR + cpuMillis;
        mCpuMillis = cpuMillis;
        mConfiguredLeaseMs = leaseMs;
        mLeaseMs = leaseMs;
        mWantedCells = wantedCells;
        mJoinListener = joinListener;
        mMembersListener = membersListener;
    }

    /** Asks for a lease of at least this long from now on; to be called on the timer's thread. */
    void minLeaseMs(long leaseMs) {
        mLeaseMs = Math.max(mConfiguredLeaseMs, leaseMs);
    }

    /** Starts to join periodically, if it hasn't yet; to be called on the timer's thread. */
    void start() {
        if (mStarted) {
            return;
        }
        mStarted = true;
        long everyMs = mConfiguredLeaseMs / JOINS_PER_LEASE;
        mTimer.scheduleAtFixedRate(this::join, 0, everyMs, TimeUnit.MILLISECONDS);
        mTimer.scheduleWithFixedDelay(
                this::readMembers, everyMs, MEMBERS_POLL_MS, TimeUnit.MILLISECONDS);
    }

    void join() {
        if (mLeft) {
            return;
        }
        ClockReading sent = ControlThread.clock();
        List<String> topics = new ArrayList<>(ROSTER_TOPICS);
        mWantedCells.get().forEach(cell -> topics.add(CELL_TOPIC_PREFIX + cell));
        mStore.join(
                GROUP,
                mMemberName,
                topics,
                mLeaseMs,
                mGeneration,
                ANSWER_TIMEOUT_MS,
                result -> mTimer.execute(() -> joined(sent, result)));
    }

    private void joined(ClockReading sent, StoreResult<GroupAssignment> result) {
        if (mLeft) {
            return;
        }
        if (!(result instanceof StoreResult.Success<GroupAssignment> good)) {
            if (!mJoinFailing) {
                sLog.warn("can't join the group: {}", result);
            }
            mJoinFailing = true;
            return;
        }
        if (mJoinFailing) {
            sLog.info("joined the group again");
        }
        mJoinFailing = false;
        GroupAssignment share = good.value();
        mGeneration = Math.max(mGeneration, share.generation());
        mJoinListener.joined(share.generation(), assignedCells(share), sent);
    }

    private static Set<Integer> assignedCells(GroupAssignment share) {
        Set<Integer> cells = new HashSet<>();
        for (GroupAssignment.Partition partition : share.partitions()) {
            Matcher cell = CELL_TOPIC.matcher(partition.topic());
            if (cell.matches() && partition.number() == 0) {
                cells.add(Integer.parseInt(cell.group(1)));
            }
        }
        return cells;
    }

    /**
     * Asks the store whether this VM has held a cell without a break.
     *
     * @param done receives the answer; is not called if there is none
     */
    void checkHold(int cell, Membership.HoldCheck check, Consumer<MemberEvent> done) {
        if (mLeft) {
            return;
        }
        ClockReading sent = ControlThread.clock();
        mStore.checkHold(
                GROUP,
                mMemberName,
                CELL_TOPIC_PREFIX + cell,
                check.since(),
                ANSWER_TIMEOUT_MS,
                result -> {
                    if (result instanceof StoreResult.Success<Boolean> answer) {
                        done.accept(new MemberEvent.HoldChecked(check, answer.value(), sent));
                    } else {
                        sLog.warn(
                                "cell {}: no answer whether it was held without a break: {}",
                                cell,
                                result);
                    }
                });
    }

    /**
     * Reads the members, at once or when {@link #MIN_READ_INTERVAL_MS} has passed since the last
     * read. Each cell without contact with its controller requests it; without this limit, eight
     * cells on 47 VMs caused a thousand calls to the store a second.
     */
    void readMembers() {
        long waitMs = mMembersReadMs + MIN_READ_INTERVAL_MS - HttpClient.nowMs();
        if (waitMs <= 0) {
            mMembersReadMs = HttpClient.nowMs();
            readNow();
        } else if (!mReadScheduled) {
            mReadScheduled = true;
            mTimer.schedule(this::runScheduledRead, waitMs, TimeUnit.MILLISECONDS);
        }
    }

    private void runScheduledRead() {
        mReadScheduled = false;
        readMembers();
    }

    private void readNow() {
        long askedMs = HttpClient.nowMs();
        mStore.members(
                GROUP,
                ANSWER_TIMEOUT_MS,
                result -> mTimer.execute(() -> membersRead(result, askedMs)));
    }

    private void membersRead(StoreResult<List<GroupMember>> result, long askedMs) {
        if (!(result instanceof StoreResult.Success<List<GroupMember>> good)) {
            return;
        }
        Set<String> peers = new HashSet<>();
        Set<String> members = new HashSet<>();
        for (GroupMember member : good.value()) {
            int addressEnd = member.member().indexOf(NAME_SEPARATOR);
            String address = member.member().substring(0, Math.max(0, addressEnd));
            if (HostAndPort.isValid(address)) {
                peers.add(address);
                members.add(member.member());
            }
        }
        peers.remove(mAddress);
        mMembers = members;
        mMembersListener.membersRead(peers, askedMs);
    }

    /** Processor of each VM of the group, as last read, in thousandths of a core. */
    List<Integer> cpuMillis() {
        Set<String> others = new HashSet<>(mMembers);
        others.remove(mMemberName);
        List<Integer> cpuMillis = new ArrayList<>(List.of(mCpuMillis));
        for (String member : others) {
            String cpu = member.substring(member.lastIndexOf(NAME_SEPARATOR) + 1);
            try {
                cpuMillis.add(Integer.parseInt(cpu));
            } catch (NumberFormatException e) {
                sLog.warn("group: the name of member {} doesn't end with its processor", member);
            }
        }
        return cpuMillis;
    }

    /** Processor of the median VM of the group, as last read, in thousandths of a core. */
    int medianCpuMillis() {
        List<Integer> cpuMillis = cpuMillis();
        Collections.sort(cpuMillis);
        return cpuMillis.get(cpuMillis.size() / 2);
    }

    /** Leaves the group, so that its cells are assigned to other VMs at once. */
    void leave() {
        if (mLeft) {
            return;
        }
        mLeft = true;
        mStore.leave(
                GROUP,
                mMemberName,
                ANSWER_TIMEOUT_MS,
                result -> sLog.info("left the group: {}", result));
    }
}
