package org.boragegap.core.records;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import org.boragegap.core.ClockReading;

/**
 * The start records of one VM on their way to the controller of a new term. They are divided into
 * frames, each of which is sent until the controller has acknowledged it.
 */
public final class RecordSender {
    /** Covered time of a process before which the deployment didn't exist. */
    public static final long UNLIMITED_MS = Long.MAX_VALUE;

    /** Largest number of ids in a frame; with ids of 16 characters some 4 KB. */
    static final int MAX_JOBS = 256;

    /** Largest number of characters of the ids in a frame, unless a single id is longer. */
    static final int MAX_CHARS = 8_192;

    private final ClockReading mStart;
    private boolean mFirstStart;
    private long mFence;
    private long mWholeSinceMs;
    private List<List<String>> mFrames = List.of();
    private final BitSet mUnacknowledged = new BitSet();

    private RecordSender(ClockReading start) {
        mStart = start;
    }

    /**
     * Creates a sender without records.
     *
     * @param start when this process started
     */
    public static RecordSender create(ClockReading start) {
        return new RecordSender(start);
    }

    /** Declares that no process of the deployment has run before this start. */
    public void firstStart() {
        mFirstStart = true;
    }

    /**
     * How far back the records of this process are whole, in ms.
     *
     * @param evictedMs time of the latest record that was dropped for lack of room; {@code
     *     Long.MIN_VALUE} if there is none
     */
    public long coveredMs(long evictedMs, long nowMs) {
        return coveredMsSince(wholeSinceMs(evictedMs), nowMs);
    }

    private long wholeSinceMs(long evictedMs) {
        return Math.max(evictedMs, mFirstStart ? Long.MIN_VALUE : mStart.monotonicMs());
    }

    private static long coveredMsSince(long wholeSinceMs, long nowMs) {
        return wholeSinceMs == Long.MIN_VALUE ? UNLIMITED_MS : nowMs - wholeSinceMs;
    }

    /**
     * Takes the records for a term that this VM has just learned of. It offers nothing to earlier
     * terms from now on.
     *
     * @param fence fencing token of the term
     * @param jobs ids of jobs that may have started in earlier terms
     * @param evictedMs see {@link #coveredMs}
     */
    public void termHeard(long fence, Collection<String> jobs, long evictedMs) {
        mFence = fence;
        mWholeSinceMs = wholeSinceMs(evictedMs);
        mFrames = split(jobs);
        mUnacknowledged.clear();
        mUnacknowledged.set(0, mFrames.size());
    }

    /** Divides ids into frames of bounded size; at least one frame, which may be empty. */
    static List<List<String>> split(Collection<String> jobs) {
        List<List<String>> frames = new ArrayList<>();
        List<String> frame = new ArrayList<>();
        int chars = 0;
        for (String job : jobs) {
            boolean full = frame.size() == MAX_JOBS || chars + job.length() > MAX_CHARS;
            if (full && !frame.isEmpty()) {
                frames.add(List.copyOf(frame));
                frame.clear();
                chars = 0;
            }
            frame.add(job);
            chars += job.length();
        }
        frames.add(List.copyOf(frame));
        return frames;
    }

    /**
     * Frames that the controller of the term has not acknowledged.
     *
     * @param lastTerm the last term of this VM's own
     */
    public List<RecordFrame> unacknowledged(long fence, EarlierTerm lastTerm, long nowMs) {
        if (fence != mFence) {
            return List.of();
        }
        long coveredMs = coveredMsSince(mWholeSinceMs, nowMs);
        return mUnacknowledged.stream()
                .mapToObj(
                        number ->
                                new RecordFrame(
                                        mStart.wallMs(),
                                        coveredMs,
                                        lastTerm,
                                        number,
                                        mFrames.size(),
                                        mFrames.get(number)))
                .toList();
    }

    /** The controller of the term has received a frame. */
    public void acknowledged(long fence, int number) {
        if (fence == mFence && number >= 0) {
            mUnacknowledged.clear(number);
        }
    }
}
