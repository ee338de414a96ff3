package org.boragegap.core.bundle;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which bundle is in force.
 *
 * <p>The first publication in log order that names the bundle in force as its parent, is properly
 * signed and can be applied takes effect; all readers of the log agree on it. What a peer passes on
 * is in force here at once, but only the log decides on publications. Versions only grow: an old
 * bundle that is replayed or arrives late is void.
 */
public final class BundleChain {
    private static final int KEPT_VERDICTS = 256;

    private Optional<CheckedBundle> mLogHead = Optional.empty();
    private Optional<CheckedBundle> mInForce = Optional.empty();
    private long mSinceWallMs;
    private final Map<String, String> mVerdicts =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
                    return size() > KEPT_VERDICTS;
                }
            };

    private BundleChain() {}

    /** Makes a chain with nothing in force. */
    public static BundleChain create() {
        return new BundleChain();
    }

    /** The bundle in force. */
    public Optional<CheckedBundle> inForce() {
        return mInForce;
    }

    /** Its version, 0 when there is none. */
    public long version() {
        return mInForce.map(checked -> checked.bundle().version()).orElse(0L);
    }

    /** Wall-clock time since which it is in force here. */
    public long sinceWallMs() {
        return mSinceWallMs;
    }

    /** What the bundle in force configures. */
    public BundleContent content() {
        return mInForce.flatMap(CheckedBundle::content).orElse(BundleContent.EMPTY);
    }

    /** What became of a publication that was read here; empty when it was not. */
    public Optional<String> verdict(String publication) {
        return Optional.ofNullable(mVerdicts.get(publication));
    }

    /** Takes a record in log order; true when another bundle is in force now. */
    public boolean apply(BundleRecord record, long wallMs) {
        CheckedBundle checked = record.bundle();
        Optional<String> objection = objection(record);
        boolean known = mVerdicts.containsKey(checked.bundle().publication());
        if (!known) {
            mVerdicts.put(checked.bundle().publication(), objection.orElse("accepted"));
        }
        if (objection.isPresent()) {
            return false;
        }
        mLogHead = Optional.of(checked);
        return adopt(checked, wallMs);
    }

    /** Takes the bundle that a peer has in force; true when it is newer than the one here. */
    public boolean adopt(CheckedBundle checked, long wallMs) {
        if (checked.content().isEmpty() || checked.bundle().version() <= version()) {
            return false;
        }
        mInForce = Optional.of(checked);
        mSinceWallMs = wallMs;
        return true;
    }

    private Optional<String> objection(BundleRecord record) {
        CheckedBundle checked = record.bundle();
        Bundle bundle = checked.bundle();
        if (checked.content().isEmpty()) {
            return Optional.of(checked.problem());
        }
        long headVersion = mLogHead.map(current -> current.bundle().version()).orElse(0L);
        if (bundle.version() <= headVersion) {
            return Optional.of("version " + headVersion + " is already in force");
        }
        if (record.kind() == BundleRecord.Kind.STATED) {
            return Optional.empty();
        }
        String head = mLogHead.map(current -> current.bundle().publication()).orElse("");
        boolean follows = bundle.parent().equals(head) && bundle.version() == headVersion + 1;
        return follows ? Optional.empty() : Optional.of("its parent is not in force");
    }
}
