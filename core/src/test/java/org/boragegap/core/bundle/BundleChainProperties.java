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
 * Operators race one another, old bundles are replayed, signatures are bad, readers come late or
 * were away past the log's retention, and peers pass on what they have. No reader goes back, no two
 * readers have different bundles of one version in force, and all end with the same one.
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
        // The steady state at the end: somebody states it, everybody reads.
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
        boolean bad = random.nextInt(5) == 0;
        CheckedBundle checked =
                bad
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
        assertWithMessage("no reader goes back").that(version).isAtLeast(reader.mHighestVersion);
        reader.mHighestVersion = version;
        if (version == 0) {
            return;
        }
        String publication = reader.mChain.active().orElseThrow().bundle().publication();
        String other = mActiveByVersion.putIfAbsent(version, publication);
        assertWithMessage("one bundle for version %s", version)
                .that(other == null || other.equals(publication))
                .isTrue();
    }

    /** A bundle that parses but can't be applied must be void on every process alike. */
    @Test
    void invalidBundleIsRejected() {
        BundleChain chain = BundleChain.create(RETENTION_MS);
        chain.advanceFirstOffset(0, 0);
        Bundle bundle = new Bundle(1, "", "p", "", List.of());
        CheckedBundle bad = CheckedBundle.invalid(bundle, "weight must be more than 0");
        chain.apply(new BundleRecord(0, 1, BundleRecord.Kind.PUBLISHED, -1, bad), 1);
        assertThat(chain.version()).isEqualTo(0);
        assertThat(chain.publicationResult("p")).hasValue("weight must be more than 0");
    }
}
