import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.boragegap.standin.CellTargetStandin.PastRun;

/**
 * Case 11: of three zones with a machine each, the one with the controller is cut off from the
 * others, and all reach the store. Meanwhile the store deals all partitions anew. The rule is broken
 * if a task runs twice at the same time.
 */
final class NamedInTurn {
    private static final int ZONES = 3;
    private static final long TASK_MS = 7_000;
    private static final int TASKS = 12;
    private static final int MINIONS = 12;
    private static final long CUT_MS = 5_500;
    private static final long SETTLE_MS = 5_000;
    private static final long BUDGET_MS = 30_000;

    /** Longest time until the machines of the other zones have missed their controller. */
    private static final long MISSED_MS = 2_500;

    /** Time in which the store may give the cell to one that asks without dealing anew. */
    private static final long MOVED_MS = 300;

    /** Time between the two deals. */
    private static final long DEALT_AGAIN_MS = 420;

    /** Time from one pair of deals to the next, while the zone is cut off. */
    private static final long NEXT_PAIR_MS = 2_000;

    private static final int PAIRS = 3;

    /** Two runs that overlap for less may be a matter of rounding. */
    private static final long TOLERANCE_MS = 5;

    private NamedInTurn() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (PrintWriter record = new PrintWriter(Path.of(arguments[0]).toFile());
                SplitZones zones = new SplitZones(ZONES)) {
            exit = run(zones, trouble, record);
            record.flush();
        } catch (Exception e) {
            e.printStackTrace();
            exit = 2;
        }
        System.exit(exit);
    }

    private static int run(SplitZones zones, boolean trouble, PrintWriter record) throws Exception {
        List<SplitZones.Vm> all = new ArrayList<>();
        for (int zone = 0; zone < ZONES; zone++) {
            all.add(zones.addVm("front-" + zone, zone, 75));
        }
        for (int i = 0; i < MINIONS; i++) {
            zones.addMinion(String.format("i-%08x", i * 0x9E3779B9), i % ZONES);
        }
        zones.start(SplitZones.configuration(1, "/jobs/"));
        Thread.sleep(SETTLE_MS);
        List<SplitZones.Vm> others = new ArrayList<>(all);
        others.removeIf(SplitZones.Vm::controls);
        if (others.size() != ZONES - 1) {
            record.println("no machine holds the cell; the case can't run");
            return 2;
        }
        all.removeAll(others);
        SplitZones.Vm alone = all.get(0);
        long t0 = System.nanoTime() / 1_000_000;
        String id = String.format("%016x", System.nanoTime());
        String body =
                "{\"BestEffort\":true,\"Spec\":\"" + TASK_MS + "\",\"Steps\":[{\"Count\":" + TASKS
                        + ",\"Cpu\":1000,\"MemMb\":64,\"EstimateMs\":" + TASK_MS + "}]}";
        record.println("0 ms: job " + id + " of " + TASKS + " tasks sent to " + others.get(0).name);
        int[] status = new int[1];
        Thread client =
                new Thread(() -> status[0] = others.get(0).post("/jobs/" + id, body, BUDGET_MS));
        client.start();
        Thread.sleep(500);
        if (trouble) {
            record.println(now(t0) + " ms: the zone of " + alone.name + " is cut off");
            zones.cut(alone.zone);
        }
        long cut = now(t0);
        for (int pair = 0; pair < PAIRS && now(t0) < cut + CUT_MS - NEXT_PAIR_MS; pair++) {
            boolean moved = pair == 0 && awaitMove(zones, alone, others);
            long dealt = now(t0);
            deal(zones, trouble && !moved ? others : List.of(), moved);
            record.println(
                    dealt + " ms: another machine holds the cell" + (moved ? ", by its join" : ""));
            Thread.sleep(DEALT_AGAIN_MS);
            deal(zones, trouble ? List.of(alone) : List.of(), false);
            record.println(now(t0) + " ms: all partitions are dealt anew; " + alone.name + " holds it");
            Thread.sleep(Math.max(0, dealt + NEXT_PAIR_MS - now(t0)));
        }
        Thread.sleep(Math.max(0, cut + CUT_MS - now(t0)));
        zones.cut(-1);
        record.println(now(t0) + " ms: no zone is cut off any more");
        client.join();
        record.println(now(t0) + " ms: answer " + status[0]);
        Thread.sleep(1_000);
        int doubled = judge(zones.pastRuns(), t0, record);
        zones.logLines("\"what\":\"control\"", "\"what\":\"settled\"", "named-again", "deposed")
                .forEach(record::println);
        String result = "tasks with two runs at the same time: " + doubled;
        record.println(result);
        System.out.println(result);
        return doubled > 0 ? 1 : 0;
    }

    /** Waits until another machine asks for the cell; true if it is given it by that. */
    private static boolean awaitMove(
            SplitZones zones, SplitZones.Vm alone, List<SplitZones.Vm> others) {
        long until = System.nanoTime() / 1_000_000 + MISSED_MS;
        while (!zones.askedOutside(alone.zone) && System.nanoTime() / 1_000_000 < until) {
            SplitZones.sleep(2);
        }
        until = System.nanoTime() / 1_000_000 + MOVED_MS;
        while (System.nanoTime() / 1_000_000 < until) {
            if (others.stream().anyMatch(SplitZones.Vm::controls)) {
                return true;
            }
            SplitZones.sleep(2);
        }
        return false;
    }

    /**
     * Deals all partitions anew at once, as the store does at times; again at the same moment until
     * one of the given machines holds the cell, where any are given and ask for it.
     */
    private static void deal(
            SplitZones zones, List<SplitZones.Vm> holders, boolean moved) {
        if (moved) {
            return;
        }
        for (int seed = 0; seed < 24; seed++) {
            zones.store().reassignAtOnce(new SplittableRandom(seed));
            if (holders.isEmpty() || holders.stream().anyMatch(SplitZones.Vm::controls)) {
                return;
            }
        }
    }

    private static long now(long t0) {
        return System.nanoTime() / 1_000_000 - t0;
    }

    private static int judge(List<PastRun> runs, long t0, PrintWriter record) {
        Map<String, List<PastRun>> byTask = new HashMap<>();
        runs.forEach(run -> byTask.computeIfAbsent(run.task(), t -> new ArrayList<>()).add(run));
        int doubled = 0;
        for (String task : byTask.keySet().stream().sorted().toList()) {
            List<PastRun> all = byTask.get(task);
            all.sort(Comparator.comparingLong(PastRun::beganMs));
            boolean overlaps = false;
            for (int i = 0; i < all.size(); i++) {
                PastRun run = all.get(i);
                for (PastRun earlier : all.subList(0, i)) {
                    long endMs = Math.min(run.endedMs(), earlier.endedMs());
                    overlaps |= endMs - run.beganMs() >= TOLERANCE_MS;
                }
                record.println(
                        "run " + task + " #" + run.number() + " fence " + run.fence() + " on "
                                + run.target() + " from " + (run.beganMs() - t0) + " to "
                                + (run.endedMs() - t0) + " ms: " + run.cause());
            }
            doubled += overlaps ? 1 : 0;
        }
        return doubled;
    }
}
