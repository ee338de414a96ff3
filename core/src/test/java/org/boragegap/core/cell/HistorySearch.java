package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.boragegap.core.HistoryTrace;

/**
 * Plays histories of one kind with many seeds, and prints those that violate a guarantee and how
 * many answers of each kind callers got, and how long new terms waited until they started tasks.
 * Started by hand with the kind, the first seed and the number of seeds; for a single seed, it
 * prints the trace as well.
 */
final class HistorySearch {
    private HistorySearch() {}

    public static void main(String[] args) {
        HistoryKind kind = HistoryKind.valueOf(args[0]);
        long first = Long.parseLong(args[1]);
        long count = Long.parseLong(args[2]);
        SettlementFigures settlements = new SettlementFigures();
        HistoryTrace trace = count == 1 ? HistorySearch::print : settlements;
        Map<String, Integer> verdicts = new ConcurrentSkipListMap<>();
        AtomicInteger violated = new AtomicInteger();
        LongStream.range(first, first + count)
                .parallel()
                .forEach(
                        seed -> {
                            InvariantChecker seen = kind.play(seed, trace);
                            seen.verdicts().forEach((k, n) -> verdicts.merge(k, n, Integer::sum));
                            List<String> violations = new ArrayList<>(seen.violations());
                            violations.addAll(seen.falseRefusals());
                            if (!violations.isEmpty()) {
                                violated.incrementAndGet();
                                System.out.println("seed " + seed + ": " + violations);
                            }
                        });
        System.out.printf(
                "%s: %d of %d from seed %d violate a guarantee; answers: %s%n",
                kind, violated.get(), count, first, verdicts);
        System.out.println(settlements.text());
    }

    private static void print(long nowMs, String process, Object what) {
        System.out.println(nowMs + " " + process + " " + what);
    }
}
