package org.boragegap.core.bundle;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.boragegap.core.log.ReadWindow;

/**
 * Decides which bundle is active.
 *
 * <p>The first publication in log order that names the newest accepted one as its parent, is
 * correctly signed and can be applied is accepted; all readers of the log agree on it. It becomes
 * active unless a newer bundle is active already. A newer bundle received from a peer becomes
 * active on this VM at once, but only the log decides whether a publication is accepted. Versions
 * only increase: an old bundle that is replayed or arrives late is ignored.
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
     * Makes a chain without an active bundle.
     *
     * @param retentionMs how long the log keeps a record
     */
    public static BundleChain create(long retentionMs) {
        return new BundleChain(retentionMs);
    }

    /** The active bundle. */
    public Optional<CheckedBundle> active() {
        return mActive;
    }

    /** The version of the active bundle, 0 when there is none. */
    public long version() {
        return versionOf(mActive);
    }

    private static long versionOf(Optional<CheckedBundle> bundle) {
        return bundle.map(checked -> checked.bundle().version()).orElse(0L);
    }

    /** Wall-clock time since which the active bundle has been active on this VM. */
    public long activeSinceWallMs() {
        return mActiveSinceWallMs;
    }

    /**
     * True when this VM has read the active bundle from the log, not only received it from a peer.
     */
    public boolean activeFromLog() {
        return mLogHead.isPresent() && versionOf(mLogHead) == version();
    }

    /** The content of the active bundle. */
    public BundleContent content() {
        return mActive.flatMap(CheckedBundle::content).orElse(BundleContent.EMPTY);
    }

    /**
     * Whether a publication was accepted, or why it was rejected; empty when it has not been read
     * here, or too many others have been read since.
     */
    public Optional<String> publicationResult(String publication) {
        return Optional.ofNullable(mPublicationResults.get(publication));
    }

    /** True for a result that says that the publication was accepted. */
    public static boolean isAccepted(String result) {
        return result.equals(ACCEPTED);
    }

    /**
     * Sets the offset from which on this reader has read every record. If records were missed, the
     * newest accepted publication becomes unknown.
     */
    public void advanceFirstOffset(long firstOffset, long nowMs) {
        if (mWindow.advanceFirstOffset(firstOffset, nowMs)) {
            mLogHead = Optional.empty();
        }
    }

    /** Applies the next record in log order; true when another bundle became active. */
    public boolean apply(BundleRecord record, long wallMs) {
        mWindow.removeBefore(record.appendedMs() - mRetentionMs);
        mWindow.add(record);
        if (record.kind() == BundleRecord.Kind.STATED) {
            return applyStatement(record, wallMs);
        }
        return applyPublication(record, wallMs);
    }

    /** Activates a bundle received from a peer if it is newer; true when it is. */
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
        Optional<String> rejection = rejectionReason(checked);
        // A replayed publication is rejected; it must not replace the result of the first one.
        mPublicationResults.putIfAbsent(checked.bundle().publication(), rejection.orElse(ACCEPTED));
        if (rejection.isPresent()) {
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
