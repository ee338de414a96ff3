package org.boragegap.core.dispatch;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.boragegap.core.job.FailureKind;

/** Runs many histories and prints totals as JSON; docs/MEASURING.md has the command. */
final class HistoryFigures {
    private HistoryFigures() {}

    /**
     * Runs as many histories as the first argument says; {@code list} draws lists that are wrong.
     */
    public static void main(String[] arguments) {
        int histories = Integer.parseInt(arguments[0]);
        boolean listUnreliable = arguments.length > 1 && arguments[1].equals("list");
        long startedNs = System.nanoTime();
        int broken = 0;
        long complete = 0;
        long starts = 0;
        Map<FailureKind, Integer> failed = new EnumMap<>(FailureKind.class);
        for (int seed = 0; seed < histories; seed++) {
            History history = listUnreliable ? History.withUnreliableList(seed) : new History(seed);
            List<String> violations = history.run();
            if (!violations.isEmpty()) {
                broken++;
                System.err.println("seed " + seed + ": " + violations);
                history.decisions().forEach(line -> System.err.println("  " + line));
            }
            complete += history.complete();
            starts += history.starts();
            history.failed().forEach((kind, count) -> failed.merge(kind, count, Integer::sum));
        }
        System.out.printf(
                "{\"histories\":%d,\"broken\":%d,\"complete\":%d,\"starts\":%d,\"failed\":\"%s\","
                        + "\"ms\":%d}%n",
                histories,
                broken,
                complete,
                starts,
                failed,
                (System.nanoTime() - startedNs) / 1_000_000);
    }
}
