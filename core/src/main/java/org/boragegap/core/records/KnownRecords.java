package org.boragegap.core.records;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * What a controller knows about starts in earlier terms: the records that it has received, whether
 * some are missing, and what a refusal may therefore state.
 *
 * <p>A job of an earlier term has been offered by some VM and started by some controller. Its
 * caller comes back within {@link #RETURN_WINDOW_MS}. So a job that arrives now has not started if
 * no VM has it in its records, and no VM has lost records of the last such window.
 *
 * <p>The controller of the previous term knows what started in its own term, and what it knew of
 * earlier ones. It makes up for the records of a VM that was lost before the end of that term.
 */
public final class KnownRecords {
    /**
     * How long after the loss of its connection a caller may come back, in ms. Callers wait 1.5 s
     * for an answer and submit again 1.3 s later; the rest allows for several lost connections in a
     * row.
     */
    public static final long RETURN_WINDOW_MS = 10_000;

    /** Records of one VM in the current term. */
    private static final class Delivery {
        private long mProcess;
        private final BitSet mReceived = new BitSet();
        private boolean mComplete;

        /** From when on the sender has recorded all of its jobs. */
        private long mWholeSinceMs = Long.MIN_VALUE;

        private Predecessor mPredecessor = Predecessor.NONE;

        private void add(RecordFrame frame, long nowMs) {
            if (mComplete) {
                return;
            }
            if (frame.process() != mProcess) {
                mProcess = frame.process();
                mReceived.clear();
            }
            mReceived.set(frame.number());
            mWholeSinceMs = Math.max(mWholeSinceMs, agoMs(frame.coveredMs(), nowMs));
            mPredecessor = Predecessor.of(frame.lastTerm(), nowMs);
            mComplete = mReceived.nextClearBit(0) >= frame.count();
        }
    }

    /**
     * A controller of an earlier term, on the clock of this VM.
     *
     * @param fence fencing token of its term; 0 for none
     * @param heldMs when the group last confirmed that term
     * @param reliableFromMs from when on arriving jobs would be in its records if they had started
     *     before; empty if they may be missing there
     */
    private record Predecessor(long fence, long heldMs, OptionalLong reliableFromMs) {
        static final Predecessor NONE = new Predecessor(0, Long.MIN_VALUE, OptionalLong.empty());

        static Predecessor of(EarlierTerm term, long nowMs) {
            boolean reliable = term.fence() != 0 && term.reliableAgoMs() != EarlierTerm.NEVER;
            return new Predecessor(
                    term.fence(),
                    nowMs - term.heldAgoMs(),
                    reliable
                            ? OptionalLong.of(agoMs(term.reliableAgoMs(), nowMs))
                            : OptionalLong.empty());
        }

        static Predecessor later(Predecessor one, Predecessor other) {
            return one.fence >= other.fence ? one : other;
        }

        /**
         * From when on arriving jobs are known although a VM has lost its records up to a time.
         *
         * @param lostMs time up to which the records are lost
         */
        long reliableFromMs(long lostMs) {
            long returnedMs = lostMs == Long.MIN_VALUE ? Long.MIN_VALUE : lostMs + RETURN_WINDOW_MS;
            return reliableFromMs.isPresent() && lostMs <= heldMs
                    ? Math.min(returnedMs, reliableFromMs.getAsLong())
                    : returnedMs;
        }
    }

    private final boolean mNoEarlierTerms;
    private final GroupPresence mPresence = new GroupPresence(RETURN_WINDOW_MS);
    private final RecentJobs<Boolean> mJobs = new RecentJobs<>();

    /** When jobs were first offered in this term while records were missing. */
    private final RecentJobs<Long> mFirstOffersMs = new RecentJobs<>();

    private final Map<String, Delivery> mDeliveries = new HashMap<>();

    /** VMs whose records are needed, each with the time when it was last in the group. */
    private final Map<String, Long> mRequired = new HashMap<>();

    private long mTermBeganMs;
    private long mOwnWholeSinceMs;
    private Predecessor mOwnTerm = Predecessor.NONE;
    private boolean mMembersListed;
    private boolean mComplete;

    private KnownRecords(boolean noEarlierTerms) {
        mNoEarlierTerms = noEarlierTerms;
    }

    /** Creates records that are incomplete until a term has begun and received them. */
    public static KnownRecords create() {
        return new KnownRecords(false);
    }

    /** Creates the records of a cell without earlier terms, which are always complete. */
    public static KnownRecords withoutEarlierTerms() {
        return new KnownRecords(true);
    }

    private static long agoMs(long ms, long nowMs) {
        return ms == RecordSender.UNLIMITED_MS ? Long.MIN_VALUE : nowMs - ms;
    }

    /**
     * The other members of the group were read. Only a read that was requested in the term shows
     * all VMs that may have offered jobs to earlier terms.
     *
     * @param askedMs when the read was requested
     */
    public void membersListed(Set<String> peers, long askedMs, long nowMs) {
        mPresence.listed(peers, nowMs);
        mRequired.replaceAll((peer, ms) -> mPresence.lastPresentMs(peer).orElse(ms));
        if (!mMembersListed && askedMs >= mTermBeganMs) {
            mMembersListed = true;
            peers.forEach(peer -> mRequired.put(peer, nowMs));
        }
    }

    /** A message of another VM has arrived. */
    public void peerHeard(String peer, long nowMs) {
        mPresence.heard(peer, nowMs);
    }

    /**
     * Begins a term on this VM.
     *
     * @param ownJobs jobs that this VM itself has offered to earlier terms
     * @param ownCoveredMs how far back its own records are whole, in ms
     * @param ownTerm the previous term of this VM
     */
    public void termBegan(
            Iterable<String> ownJobs, long ownCoveredMs, EarlierTerm ownTerm, long nowMs) {
        mTermBeganMs = nowMs;
        mOwnWholeSinceMs = agoMs(ownCoveredMs, nowMs);
        mOwnTerm = Predecessor.of(ownTerm, nowMs);
        mMembersListed = false;
        mComplete = false;
        mDeliveries.clear();
        mRequired.clear();
        mRequired.putAll(mPresence.recent(nowMs));
        ownJobs.forEach(job -> mJobs.remember(job, true, nowMs));
    }

    /** Records of another VM, sent for the current term, have arrived. */
    public void received(String peer, RecordFrame frame, long nowMs) {
        frame.jobs().forEach(job -> mJobs.remember(job, true, nowMs));
        mDeliveries.computeIfAbsent(peer, name -> new Delivery()).add(frame, nowMs);
    }

    /**
     * A job was offered. A caller that came back while records were missing may be one whose job
     * they would have named, and remains so when its job is refused later.
     */
    public void offered(String job, long nowMs) {
        if (!isComplete(nowMs)) {
            long firstMs = mFirstOffersMs.find(job, nowMs).orElse(nowMs);
            mFirstOffersMs.remember(job, firstMs, nowMs);
        }
    }

    /** What is known about earlier starts of a job that was offered in this term. */
    public RefusalBasis basis(String job, long nowMs) {
        if (mJobs.find(job, nowMs).isPresent()) {
            return RefusalBasis.MAY_HAVE_STARTED;
        }
        long firstOfferMs = mFirstOffersMs.find(job, nowMs).orElse(nowMs);
        return isReliableFrom(firstOfferMs)
                ? RefusalBasis.NOT_STARTED
                : RefusalBasis.RECORDS_INCOMPLETE;
    }

    /** True once all jobs that started in earlier terms, and may still come back, are known. */
    public boolean isComplete(long nowMs) {
        mComplete = mComplete || isReliableFrom(nowMs);
        return mComplete;
    }

    /**
     * Jobs that may have started in earlier terms, for the records of the next controller: those in
     * records received since a time, and those offered since then while records were missing.
     *
     * @param reliableFromMs what {@link #reliableFromMs} was at the end of the term
     */
    public List<String> mayHaveStartedSince(long sinceMs, OptionalLong reliableFromMs) {
        List<String> jobs = new ArrayList<>(mJobs.since(sinceMs, recorded -> true));
        long fromMs = reliableFromMs.orElse(Long.MAX_VALUE);
        jobs.addAll(mFirstOffersMs.since(sinceMs, firstMs -> firstMs < fromMs));
        return jobs;
    }

    /** Number of jobs in the records. */
    public int jobs() {
        return mJobs.size();
    }

    private boolean isReliableFrom(long ms) {
        if (mNoEarlierTerms) {
            return true;
        }
        OptionalLong reliableFromMs = reliableFromMs();
        return reliableFromMs.isPresent() && reliableFromMs.getAsLong() <= ms;
    }

    /**
     * From when on a job that is offered for the first time would be in the records if it had
     * started before; empty while records are still to arrive.
     */
    public OptionalLong reliableFromMs() {
        if (!mMembersListed) {
            return OptionalLong.empty();
        }
        Predecessor predecessor = predecessor();
        long fromMs = ownReliableFromMs(predecessor);
        if (mJobs.evictedMs() >= mTermBeganMs) {
            fromMs = Math.max(fromMs, mJobs.evictedMs() + RETURN_WINDOW_MS);
        }
        for (Map.Entry<String, Long> required : mRequired.entrySet()) {
            Delivery delivery = mDeliveries.get(required.getKey());
            if (delivery != null && delivery.mComplete) {
                long lostMs = delivery.mWholeSinceMs;
                fromMs = Math.max(fromMs, predecessor.reliableFromMs(lostMs));
            } else if (mPresence.isPresent(required.getKey())) {
                return OptionalLong.empty();
            } else {
                fromMs = Math.max(fromMs, predecessor.reliableFromMs(required.getValue()));
            }
        }
        return OptionalLong.of(fromMs);
    }

    /** The controller of the last term in which tasks were started, as far as is known. */
    private Predecessor predecessor() {
        return mDeliveries.values().stream()
                .filter(delivery -> delivery.mComplete)
                .map(delivery -> delivery.mPredecessor)
                .reduce(mOwnTerm, Predecessor::later);
    }

    /**
     * From when on it matters no more what this VM did before it started, and which VMs were lost
     * before it first knew the group.
     */
    private long ownReliableFromMs(Predecessor predecessor) {
        if (mOwnWholeSinceMs == Long.MIN_VALUE) {
            return Long.MIN_VALUE;
        }
        return predecessor.reliableFromMs(Math.max(mOwnWholeSinceMs, mPresence.knownSinceMs()));
    }
}
