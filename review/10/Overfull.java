import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.boragegap.standin.CellTargetStandin;

/**
 * Case 10: for three seconds one job in twenty can never be done, because its task needs more than
 * any minion has. The rule is broken if a start brings a minion over its capacity.
 */
final class Overfull implements Case {
    private static final double TRAFFIC_S = 20;
    private static final double TROUBLE_FROM_S = 5;
    private static final double TROUBLE_FOR_S = 3;
    private static final int ONE_IN = 20;
    private static final int CLIENTS = 20;

    /** 3 cores, in billionths instead of thousandths of a core. */
    private static final long TOO_MUCH_CPU = 3_000_000_000L;

    /** 3 GB, in bytes instead of MB. */
    private static final long TOO_MUCH_MEM = 3_221_225_472L;

    public static void main(String[] args) {
        Case.run(new Overfull(), args[0]);
    }

    @Override
    public boolean play(Deployment deployment, Record record, boolean trouble) throws Exception {
        Client client = new Client(deployment, record);
        Map<String, Job> jobs = new ConcurrentHashMap<>();
        List<Thread> threads = new ArrayList<>();
        double began = record.seconds();
        AtomicInteger inTrouble = new AtomicInteger();
        for (int i = 0; i < CLIENTS; i++) {
            Random random = new Random(2_000 + i);
            threads.add(
                    new Thread(
                            () -> {
                                for (double at = 0; at < TRAFFIC_S; at = record.seconds() - began) {
                                    boolean within = at >= TROUBLE_FROM_S;
                                    within &= at < TROUBLE_FROM_S + TROUBLE_FOR_S;
                                    int number = within ? inTrouble.incrementAndGet() : 0;
                                    boolean tooLarge = trouble && within && number % ONE_IN == 0;
                                    submit(client, random, tooLarge, number, jobs);
                                }
                            }));
        }
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            thread.join();
        }
        Thread.sleep(3_000);
        int over = 0;
        int byOrdinary = 0;
        for (CellTargetStandin minion : deployment.minions) {
            List<CellTargetStandin.PastRun> runs = new ArrayList<>(minion.pastRuns());
            runs.sort(Comparator.comparingLong(CellTargetStandin.PastRun::beganMs));
            for (CellTargetStandin.PastRun run : runs) {
                Usage all = Usage.at(run, runs, jobs);
                boolean exceeds = all.exceedsMinion();
                record.line(describe(run, jobs.get(jobOf(run)), all, exceeds));
                over += exceeds ? 1 : 0;
                byOrdinary += all.ordinaryCpu > Deployment.MINION_CPU ? 1 : 0;
            }
        }
        String result =
                "starts over a minion's capacity="
                        + over
                        + ", of these with ordinary tasks alone over it="
                        + byOrdinary
                        + ", most runs at once on a minion="
                        + deployment.minions.stream()
                                .mapToInt(CellTargetStandin::maxRunning)
                                .max()
                                .orElse(0);
        record.line("result: " + result);
        System.out.println(result);
        return over > 0;
    }

    private static String describe(
            CellTargetStandin.PastRun run, Job job, Usage usage, boolean exceeds) {
        return "run "
                + run.task()
                + " #"
                + run.number()
                + " on "
                + run.target()
                + " from "
                + run.beganMs()
                + " to "
                + run.endedMs()
                + " "
                + run.cause()
                + " needs cpu="
                + job.cpu()
                + " mem="
                + job.memMb()
                + "; minion then cpu="
                + usage.cpu
                + " of "
                + Deployment.MINION_CPU
                + " mem="
                + usage.memMb
                + " of "
                + Deployment.MINION_MEM_MB
                + (exceeds ? " OVER" : "");
    }

    private static String jobOf(CellTargetStandin.PastRun run) {
        return run.task().substring(0, 16);
    }

    /** What the clients' jobs say that the runs on a minion need, at the start of one of them. */
    private static final class Usage {
        private long cpu;
        private long memMb;
        private long ordinaryCpu;

        private static Usage at(
                CellTargetStandin.PastRun started,
                List<CellTargetStandin.PastRun> runs,
                Map<String, Job> jobs) {
            Usage usage = new Usage();
            for (CellTargetStandin.PastRun run : runs) {
                boolean before = run.beganMs() <= started.beganMs();
                if (run == started || before && run.endedMs() > started.beganMs()) {
                    Job job = jobs.get(jobOf(run));
                    usage.cpu += job.cpu();
                    usage.memMb += job.memMb();
                    usage.ordinaryCpu += job.cpu() <= Deployment.MINION_CPU ? job.cpu() : 0;
                }
            }
            return usage;
        }

        private boolean exceedsMinion() {
            return cpu > Deployment.MINION_CPU || memMb > Deployment.MINION_MEM_MB;
        }
    }

    private static void submit(
            Client client, Random random, boolean tooLarge, int number, Map<String, Job> jobs) {
        String id = Job.newId(random);
        boolean tooMuchCpu = number / ONE_IN % 2 == 1;
        Job job = new Job(id, 2, 1_000, 10, 200 + random.nextInt(200));
        if (tooLarge) {
            long cpu = tooMuchCpu ? TOO_MUCH_CPU : 1_000;
            long memMb = tooMuchCpu ? 10 : TOO_MUCH_MEM;
            job = new Job(id, 1, cpu, memMb, 1_000);
        }
        jobs.put(id, job);
        try {
            client.submit(tooLarge ? "too large" : "ordinary", job, 3, random);
            Thread.sleep(random.nextInt(400));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
