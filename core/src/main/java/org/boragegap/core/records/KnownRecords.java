package org.boragegap.core.records;

import java.util.BitSet;
import java.util.HashMap;
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

        /** From when on arriving jobs would be in the records of this VM. */
        private long mReliableFromMs = Long.MIN_VALUE;

        private void add(RecordFrame frame, long nowMs) {
            if (mComplete) {
                return;
            }
            if (frame.process() != mProcess) {
                mProcess = frame.process();
                mReceived.clear();
            }
            mReceived.set(frame.number());
            mReliableFromMs = Math.max(mReliableFromMs, reliableFromMs(frame.coveredMs(), nowMs));
            mComplete = mReceived.nextClearBit(0) >= frame.count();
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
    private long mOwnReliableFromMs;
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

    private static long reliableFromMs(long coveredMs, long nowMs) {
        return coveredMs >= RETURN_WINDOW_MS
                ? Long.MIN_VALUE
                : nowMs + RETURN_WINDOW_MS - coveredMs;
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
     */
    public void termBegan(Iterable<String> ownJobs, long ownCoveredMs, long nowMs) {
        mTermBeganMs = nowMs;
        mOwnReliableFromMs = reliableFromMs(ownCoveredMs, nowMs);
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
    private OptionalLong reliableFromMs() {
        if (!mMembersListed) {
            return OptionalLong.empty();
        }
        long fromMs = mOwnReliableFromMs;
        if (mJobs.evictedMs() >= mTermBeganMs) {
            fromMs = Math.max(fromMs, mJobs.evictedMs() + RETURN_WINDOW_MS);
        }
        for (Map.Entry<String, Long> required : mRequired.entrySet()) {
            Delivery delivery = mDeliveries.get(required.getKey());
            if (delivery != null && delivery.mComplete) {
                fromMs = Math.max(fromMs, delivery.mReliableFromMs);
            } else if (mPresence.isPresent(required.getKey())) {
                return OptionalLong.empty();
            } else {
                fromMs = Math.max(fromMs, required.getValue() + RETURN_WINDOW_MS);
            }
        }
        return OptionalLong.of(fromMs);
    }
}
