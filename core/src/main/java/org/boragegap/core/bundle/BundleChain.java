package org.boragegap.core.bundle;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.boragegap.core.log.ReadWindow;

/**
 * Decides which bundle is in force.
 *
 * <p>The first publication in log order that names the bundle in force as its parent, is properly
 * signed and can be applied takes effect; all readers of the log agree on it. What a peer passes on
 * is in force here at once, but only the log decides on publications. Versions only grow: an old
 * bundle that is replayed or arrives late is void.
 */
public final class BundleChain {
    private static final int MAX_KEPT_RESULTS = 256;
    private static final String ACCEPTED = "accepted";

    private final long mRetentionMs;
    private final ReadWindow<BundleRecord> mWindow = ReadWindow.create();
    private Optional<CheckedBundle> mLogHead = Optional.empty();
    private Optional<CheckedBundle> mActive = Optional.empty();
    private long mActiveSinceWallMs;
    private final Map<String, String> mPublicationResults =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
                    return size() > MAX_KEPT_RESULTS;
                }
            };

    private BundleChain(long retentionMs) {
        mRetentionMs = retentionMs;
    }

    /**
     * Makes a chain with nothing in force.
     *
     * @param retentionMs how long the log keeps a record
     */
    public static BundleChain create(long retentionMs) {
        return new BundleChain(retentionMs);
    }

    /** The bundle in force. */
    public Optional<CheckedBundle> active() {
        return mActive;
    }

    /** Its version, 0 when there is none. */
    public long version() {
        return versionOf(mActive);
    }

    private static long versionOf(Optional<CheckedBundle> bundle) {
        return bundle.map(checked -> checked.bundle().version()).orElse(0L);
    }

    /** Wall-clock time since which it is in force here. */
    public long activeSinceWallMs() {
        return mActiveSinceWallMs;
    }

    /** True when the bundle in force was read from the log here, and not only told by a peer. */
    public boolean activeFromLog() {
        return mLogHead.isPresent() && versionOf(mLogHead) == version();
    }

    /** What the bundle in force configures. */
    public BundleContent content() {
        return mActive.flatMap(CheckedBundle::content).orElse(BundleContent.EMPTY);
    }

    /** What became of a publication that was read here; empty when it was not. */
    public Optional<String> publicationResult(String publication) {
        return Optional.ofNullable(mPublicationResults.get(publication));
    }

    /** True for a verdict that says that the publication took effect. */
    public static boolean isAccepted(String verdict) {
        return verdict.equals(ACCEPTED);
    }

    /** Tells from which offset on everything has been read. */
    public void advanceFirstOffset(long firstOffset, long nowMs) {
        if (mWindow.advanceFirstOffset(firstOffset, nowMs)) {
            mLogHead = Optional.empty();
        }
    }

    /** Takes a record in log order; true when another bundle is in force now. */
    public boolean apply(BundleRecord record, long wallMs) {
        mWindow.removeBefore(record.appendedMs() - mRetentionMs);
        mWindow.add(record);
        if (record.kind() == BundleRecord.Kind.STATED) {
            return applyStatement(record, wallMs);
        }
        return applyPublication(record, wallMs);
    }

    /** Takes the bundle that a peer has in force; true when it is newer than the one here. */
    public boolean adopt(CheckedBundle checked, long wallMs) {
        if (checked.content().isEmpty() || checked.bundle().version() <= version()) {
            return false;
        }
        mActive = Optional.of(checked);
        mActiveSinceWallMs = wallMs;
        return true;
    }

    private boolean applyStatement(BundleRecord record, long wallMs) {
        CheckedBundle checked = record.bundle();
        boolean newer = checked.bundle().version() > versionOf(mLogHead);
        if (!newer || checked.content().isEmpty() || !mWindow.isCompleteAfter(record.asOf())) {
            return false;
        }
        mLogHead = Optional.of(checked);
        boolean changed = adopt(checked, wallMs);
        for (BundleRecord since : mWindow.recordsAfter(record.asOf())) {
            if (since.kind() == BundleRecord.Kind.PUBLISHED) {
                changed |= applyPublication(since, wallMs);
            }
        }
        return changed;
    }

    private boolean applyPublication(BundleRecord record, long wallMs) {
        CheckedBundle checked = record.bundle();
        Optional<String> objection = rejectionReason(checked);
        // The first verdict stands: the same publication sent again is void, and was decided on.
        mPublicationResults.putIfAbsent(checked.bundle().publication(), objection.orElse(ACCEPTED));
        if (objection.isPresent()) {
            return false;
        }
        mLogHead = Optional.of(checked);
        return adopt(checked, wallMs);
    }

    private Optional<String> rejectionReason(CheckedBundle checked) {
        Bundle bundle = checked.bundle();
        if (checked.content().isEmpty()) {
            return Optional.of(checked.problem());
        }
        if (mLogHead.isEmpty()) {
            boolean first = bundle.version() == 1 && bundle.parent().isEmpty();
            boolean follows = first && mWindow.newestWasOnlyRecord();
            return follows ? Optional.empty() : Optional.of("what is in force is not known here");
        }
        if (bundle.version() <= versionOf(mLogHead)) {
            return Optional.of("version " + versionOf(mLogHead) + " is already in force");
        }
        boolean follows =
                bundle.parent().equals(mLogHead.get().bundle().publication())
                        && bundle.version() == versionOf(mLogHead) + 1;
        return follows ? Optional.empty() : Optional.of("its parent is not in force");
    }
}
