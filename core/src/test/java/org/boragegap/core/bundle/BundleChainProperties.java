package org.boragegap.core.bundle;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Random histories in which operators publish concurrently, old bundles are replayed, signatures
 * are invalid, readers start late or miss records that the log no longer keeps, and peers exchange
 * their bundles. The active version of a reader never decreases, no two readers have different
 * active bundles of one version, and all readers end with the same bundle.
 */
final class BundleChainProperties {
    private static final long RETENTION_MS = 400;
    private static final long STEP_MS = 10;

    private static final class Reader {
        private final BundleChain mChain = BundleChain.create(RETENTION_MS);
        private int mNextOffset;
        private int mFirstOffset;
        private long mHighestVersion;
    }

    private final List<BundleRecord> mLog = new ArrayList<>();
    private final Map<Long, String> mActiveByVersion = new HashMap<>();

    @Property(tries = 1_000, seed = "7")
    void readersAgreeAndVersionsNeverDecrease(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 5) int count) {
        mLog.clear();
        mActiveByVersion.clear();
        SplittableRandom random = new SplittableRandom(seed);
        List<Reader> readers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            readers.add(new Reader());
        }
        for (int step = 0; step < 150; step++) {
            performRandomStep(readers, random, step * STEP_MS);
        }
        // Lets the readers converge: some restate the active bundle, all read the log.
        long endMs = 150 * STEP_MS;
        for (int round = 0; round < 3; round++) {
            readers.forEach(reader -> read(reader, endMs));
            readers.forEach(reader -> appendStatement(reader, endMs));
            exchangeBundles(readers);
        }
        long highest = readers.stream().mapToLong(r -> r.mChain.version()).max().orElse(0);
        readers.forEach(r -> assertThat(r.mChain.version()).isEqualTo(highest));
    }

    private void performRandomStep(List<Reader> readers, SplittableRandom random, long nowMs) {
        Reader reader = readers.get(random.nextInt(readers.size()));
        switch (random.nextInt(9)) {
            case 0, 1 -> publish(reader, random, nowMs);
            case 2 -> replay(random, nowMs);
            case 3, 4 -> read(reader, nowMs);
            case 5 -> appendStatement(reader, nowMs);
            case 6 -> readers.forEach(each -> read(each, nowMs));
            case 7 -> exchangeBundles(readers);
            default -> {
                if (random.nextInt(6) == 0) {
                    readers.set(readers.indexOf(reader), new Reader());
                }
            }
        }
    }

    private void publish(Reader reader, SplittableRandom random, long nowMs) {
        String parent =
                reader.mChain.active().map(checked -> checked.bundle().publication()).orElse("");
        String publication = "p" + random.nextLong();
        Bundle bundle = new Bundle(reader.mChain.version() + 1, parent, publication, "", List.of());
        boolean invalid = random.nextInt(5) == 0;
        CheckedBundle checked =
                invalid
                        ? CheckedBundle.invalid(bundle, "bad signature")
                        : CheckedBundle.valid(bundle, BundleContent.EMPTY);
        append(BundleRecord.Kind.PUBLISHED, -1, checked, nowMs);
    }

    private void replay(SplittableRandom random, long nowMs) {
        if (!mLog.isEmpty()) {
            BundleRecord old = mLog.get(random.nextInt(mLog.size()));
            append(old.kind(), old.asOf(), old.bundle(), nowMs);
        }
    }

    private void appendStatement(Reader reader, long nowMs) {
        if (reader.mChain.activeFromLog()) {
            CheckedBundle bundle = reader.mChain.active().orElseThrow();
            append(BundleRecord.Kind.STATED, reader.mNextOffset - 1, bundle, nowMs);
        }
    }

    private void append(BundleRecord.Kind kind, long asOf, CheckedBundle bundle, long nowMs) {
        mLog.add(new BundleRecord(mLog.size(), nowMs, kind, asOf, bundle));
    }

    private void read(Reader reader, long nowMs) {
        int first = 0;
        while (first < mLog.size() && mLog.get(first).appendedMs() < nowMs - RETENTION_MS) {
            first++;
        }
        if (first > reader.mNextOffset) {
            reader.mFirstOffset = first;
            reader.mNextOffset = first;
        }
        reader.mChain.advanceFirstOffset(reader.mFirstOffset, nowMs);
        while (reader.mNextOffset < mLog.size()) {
            reader.mChain.apply(mLog.get(reader.mNextOffset++), nowMs);
            checkReader(reader);
        }
    }

    private void exchangeBundles(List<Reader> readers) {
        for (Reader from : readers) {
            for (Reader to : readers) {
                from.mChain.active().ifPresent(bundle -> to.mChain.adopt(bundle, 0));
                checkReader(to);
            }
        }
    }

    private void checkReader(Reader reader) {
        long version = reader.mChain.version();
        assertWithMessage("the version never decreases")
                .that(version)
                .isAtLeast(reader.mHighestVersion);
        reader.mHighestVersion = version;
        if (version == 0) {
            return;
        }
        String publication = reader.mChain.active().orElseThrow().bundle().publication();
        String other = mActiveByVersion.putIfAbsent(version, publication);
        assertWithMessage("one active bundle of version %s", version)
                .that(other == null || other.equals(publication))
                .isTrue();
    }

    /**
     * Guards against a bundle that parses but can't be applied becoming active on some processes.
     */
    @Test
    void invalidBundleIsRejected() {
        BundleChain chain = BundleChain.create(RETENTION_MS);
        chain.advanceFirstOffset(0, 0);
        Bundle bundle = new Bundle(1, "", "p", "", List.of());
        CheckedBundle invalid = CheckedBundle.invalid(bundle, "weight must be more than 0");
        chain.apply(new BundleRecord(0, 1, BundleRecord.Kind.PUBLISHED, -1, invalid), 1);
        assertThat(chain.version()).isEqualTo(0);
        assertThat(chain.publicationResult("p")).hasValue("weight must be more than 0");
    }
}
