import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.boragegap.standin.LoopbackPorts;

/** Minions go down and up by turns, under the same Id and as another kind. */
final class OtherKind {
    private static final int MINIONS = 16;
    private static final long PLAY_MS = 90_000;

    /** Two of 16 minions go down and up by turns: a share of 0.125, two times in 5.2 s. */
    private static final long GAP_MS = 1_300;

    private static final int TURNS = 2;
    private static final long PAUSE_MS = 600;

    public static void main(String[] args) throws Exception {
        Lab lab = new Lab(Path.of(args[0]));
        try {
            play(lab);
        } catch (Throwable e) {
            lab.cannotRun(e);
        }
    }

    private static Minion.Kind kind(boolean a) {
        return a ? new Minion.Kind("a", 16_000, 32_000) : new Minion.Kind("b", 16_000, 32_000);
    }

    private static void play(Lab lab) throws Exception {
        lab.configure(1, 5_000);
        Minion[] minions = new Minion[MINIONS];
        int[] ports = new int[MINIONS];
        for (int i = 0; i < MINIONS; i++) {
            ports[i] = LoopbackPorts.next();
            String id = String.format("i-%08x", i * 0x9E3779B9);
            minions[i] = new Minion(lab, id, ports[i], Lab.SERVICE, kind(i % 2 == 0), true).start();
        }
        lab.startFronts(3);
        long beganMs = Lab.nowMs();
        if (lab.mTrouble) {
            for (int first = 0; first < MINIONS; first += MINIONS / 2) {
                int from = first;
                long endMs = beganMs + PLAY_MS;
                Thread flapping = new Thread(() -> flap(lab, minions, ports, from, endMs));
                flapping.setDaemon(true);
                flapping.start();
            }
        }
        for (int job = 0; Lab.nowMs() - beganMs < PLAY_MS; job++) {
            ObjectNode body = Lab.job("100");
            Lab.addStep(body, 12, 3_000, 100).put("RequiredLabel", "a");
            String id = String.format("%016x", 0xa000 + job);
            lab.send(lab.mFronts.get(job % 3), "POST", id, body.toString(), 1_500);
            Thread.sleep(50);
        }
        Thread.sleep(2_000);
        List<String> breaks = new ArrayList<>();
        for (Minion.Run run : lab.runs()) {
            if (!run.label.equals("a")) {
                breaks.add(
                        run.task
                                + " run "
                                + run.number
                                + " requires label a, and started at "
                                + lab.sinceStart(run.beganMs)
                                + " ms on "
                                + run.minion
                                + " of kind "
                                + run.label);
            }
        }
        lab.finish("ROUTE", breaks);
    }

    /** Each life of a minion is of another kind than the one before it. */
    private static void flap(Lab lab, Minion[] minions, int[] ports, int from, long endMs) {
        try {
            Thread.sleep(3_000);
            for (int i = from; Lab.nowMs() < endMs; i = from + (i + 1 - from) % (MINIONS / 2)) {
                for (int turn = 0; turn < TURNS; turn++) {
                    Minion earlier = minions[i];
                    earlier.crash();
                    Thread.sleep(GAP_MS);
                    Minion.Kind kind = kind(!earlier.mKind.label().equals("a"));
                    minions[i] =
                            new Minion(lab, earlier.mId, ports[i], Lab.SERVICE, kind, true).start();
                    Thread.sleep(GAP_MS);
                }
                Thread.sleep(PAUSE_MS);
            }
        } catch (Exception e) {
            lab.cannotRun(e);
        }
    }
}
