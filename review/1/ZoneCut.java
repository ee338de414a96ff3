import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.boragegap.standin.CellTargetStandin.PastRun;

/**
 * The seven machines of obchuzky-brno once the spare machine of its largest zone is in use: four in
 * zone 0, two in zone 1 and one in zone 2. The controller is in zone 0. A client of zone 1 submits
 * one job of long tasks; then zone 0 is cut off from the other zones and from the store.
 */
final class ZoneCut {
    private static final long TASK_MS = 7_000;
    private static final int TASKS = 16;
    private static final int MINIONS = 12;
    private static final long CUT_MS = 5_500;
    private static final long SETTLE_MS = 6_000;
    private static final int MAX_RESTARTS = 4;
    private static final long BUDGET_MS = 25_000;
    private static final long TOLERANCE_MS = 100;

    private ZoneCut() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (PrintWriter record = new PrintWriter(Path.of(arguments[0]).toFile());
                Deployment deployment = new Deployment(3)) {
            int result = run(deployment, trouble, record);
            record.flush();
            deployment.close();
            System.exit(result);
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
    }

    private static int run(Deployment deployment, boolean trouble, PrintWriter record)
            throws Exception {
        List<Deployment.Vm> vms = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            vms.add(deployment.addVm("front-0-" + i, 0, 75));
        }
        // The strongest machine takes control, so these are a little weaker than those of zone 0.
        vms.add(deployment.addVm("front-1-0", 1, 70));
        vms.add(deployment.addVm("front-1-1", 1, 70));
        vms.add(deployment.addVm("front-2-0", 2, 70));
        for (int i = 0; i < MINIONS; i++) {
            deployment.addMinion(String.format("i-%08x", i * 0x9E3779B9), i % 3);
        }
        deployment.start(Deployment.configuration(1, "/jobs/"));
        if (!moveControllerTo(0, vms)) {
            record.println("the controller is not in zone 0");
            return 2;
        }
        String id = String.format("%016x", System.nanoTime());
        String body =
                "{\"BestEffort\":true,\"Spec\":\"" + TASK_MS + "\",\"Steps\":[{\"Count\":" + TASKS
                        + ",\"Cpu\":1000,\"MemMb\":64,\"EstimateMs\":" + TASK_MS + "}]}";
        long t0 = System.nanoTime() / 1_000_000;
        CompletableFuture<Integer> answer =
                CompletableFuture.supplyAsync(
                        () -> vms.get(4).post("/jobs/" + id, body, BUDGET_MS));
        record.println("0 ms: job " + id + " of " + TASKS + " tasks sent to front-1-0");
        Thread.sleep(1_000);
        if (trouble) {
            record.println(now(t0) + " ms: zone 0 is cut off");
            deployment.cut(0);
        }
        Thread.sleep(CUT_MS);
        if (trouble) {
            record.println(now(t0) + " ms: the cut ends");
            deployment.cut(-1);
        }
        int status = answer.get();
        record.println(now(t0) + " ms: answer " + status);
        Thread.sleep(TASK_MS + 2_000);
        int doubled = judge(deployment.pastRuns(), t0, record);
        deployment
                .logLines("\"what\":\"control\"", "\"what\":\"settled\"", "\"what\":\"deposed\"")
                .forEach(record::println);
        record.println("tasks with two runs at the same time: " + doubled);
        if (status != 200 && !trouble) {
            return 2;
        }
        return doubled > 0 ? 1 : 0;
    }

    /** Restarts the machine that controls the cell, in turn, until one of the zone does. */
    private static boolean moveControllerTo(int zone, List<Deployment.Vm> vms) throws Exception {
        for (int i = 0; i < MAX_RESTARTS; i++) {
            Thread.sleep(SETTLE_MS);
            if (vms.stream().anyMatch(vm -> vm.zone == zone && vm.controls())) {
                return true;
            }
            for (Deployment.Vm vm : vms) {
                if (vm.controls()) {
                    vm.restart();
                    break;
                }
            }
        }
        return false;
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
            long endMs = Long.MIN_VALUE;
            for (PastRun run : all) {
                overlaps |= run.beganMs() + TOLERANCE_MS < endMs;
                endMs = Math.max(endMs, run.endedMs());
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
