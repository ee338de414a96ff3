import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.boragegap.standin.LoopbackPorts;

/** Clients cancel jobs that are in progress. */
final class Cancel {
    private static final int MINIONS = 8;
    private static final int JOBS = 12;
    private static final long FIRST_STEP_MS = 5_000;
    private static final long SECOND_STEP_MS = 1_000;
    private static final long BUDGET_MS = 12_000;

    /** `cancel_ms` and `StopMs` of the site. */
    private static final long CANCEL_MS = 3_000;

    private static final long STOP_MS = 50;

    public static void main(String[] args) throws Exception {
        Lab lab =
                new Lab(Path.of(args[0])) {
                    @Override
                    long workMs(String task, String spec) {
                        return task.split("\\.")[2].equals("0") ? FIRST_STEP_MS : SECOND_STEP_MS;
                    }
                };
        try {
            play(lab);
        } catch (Throwable e) {
            lab.cannotRun(e);
        }
    }

    private static void play(Lab lab) throws Exception {
        lab.configure(1, BUDGET_MS);
        for (int i = 0; i < MINIONS; i++) {
            String id = String.format("i-%08x", i * 0x9E3779B9);
            Minion.Kind kind = new Minion.Kind("a", 64_000, 256_000);
            new Minion(lab, id, LoopbackPorts.next(), Lab.SERVICE, kind, false).start();
        }
        lab.startFronts(3);
        Thread.sleep(4_000);
        Map<String, Long> acknowledgedMs = new TreeMap<>();
        for (int i = 0; i < JOBS; i++) {
            ObjectNode job = Lab.job("two steps");
            Lab.addStep(job, 2, 1_000, FIRST_STEP_MS);
            Lab.addStep(job, 2, 1_000, SECOND_STEP_MS).putArray("DependsOn").add(0);
            String id = String.format("%016x", 0xc000 + i);
            Lab.Front front = lab.mFronts.get(i % 3);
            lab.send(front, "POST", id, job.toString(), BUDGET_MS);
            Thread.sleep(700);
            if (lab.mTrouble) {
                int status = lab.send(front, "DELETE", id, "", 1_500).get();
                if (status / 100 == 2 || status == 410) {
                    acknowledgedMs.put(id, Lab.nowMs());
                }
            }
        }
        Thread.sleep(BUDGET_MS);
        List<String> breaks = new ArrayList<>();
        for (Minion.Run run : lab.runs()) {
            Long ackMs = acknowledgedMs.get(run.task.substring(0, 16));
            if (ackMs == null) {
                continue;
            }
            long beganMs = run.beganMs - ackMs;
            long endedMs = (run.endedMs < 0 ? Lab.nowMs() : run.endedMs) - ackMs;
            if (beganMs > CANCEL_MS) {
                breaks.add(run.task + " started " + beganMs + " ms after the DELETE was answered");
            } else if (endedMs > CANCEL_MS + STOP_MS) {
                breaks.add(run.task + " ran on until " + endedMs + " ms after the DELETE was answered");
            }
        }
        lab.finish("UNASKED", breaks);
    }
}
