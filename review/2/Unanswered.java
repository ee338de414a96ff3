import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.boragegap.standin.CellTargetStandin;

/**
 * Six machines in three zones. Clients keep connections open, and send the head and the body of a
 * POST in two segments. On half of the connections the first POST is for a queue that doesn't
 * exist. Then three machines are stopped by SIGTERM, one after the other, and on each connection to
 * a machine that is being stopped a second request is sent.
 */
final class Unanswered {
    /** Time between the head and the body of a POST, in ms. */
    private static final long BODY_AFTER_MS = 20;

    private static final long BUDGET_MS = 10_000;

    /** {@code LossSlackMs} and {@code GraceS} of the site. */
    private static final long LOSS_SLACK_MS = 200;

    private static final long GRACE_MS = 6_000;
    private static final int STOPPED = 3;

    /** What a client has seen after a request. */
    private record Seen(String answer, boolean ended, long afterMs) {
        /** The connection has ended without a complete answer, later than the slack. */
        boolean lost() {
            return ended && answer.isEmpty() && afterMs > LOSS_SLACK_MS;
        }

        @Override
        public String toString() {
            String what = answer.isEmpty() ? "no answer" : answer;
            return what + (ended ? ", connection ended" : "") + " after " + afterMs + " ms";
        }
    }

    private Unanswered() {}

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
        for (int i = 0; i < 6; i++) {
            vms.add(deployment.addVm("front-" + i, i % 3, 75));
        }
        for (int i = 0; i < 12; i++) {
            deployment.addMinion(String.format("i-%08x", i * 0x9E3779B9), i % 3);
        }
        deployment.start(Deployment.configuration(1, "/jobs/"));
        Thread.sleep(5_000);
        int lost = 0;
        for (Deployment.Vm vm : vms.subList(0, STOPPED)) {
            lost += runOn(vm, trouble, record);
        }
        for (CellTargetStandin.PastRun run : deployment.pastRuns()) {
            record.println("run " + run.task() + " #" + run.number() + ": " + run.cause());
        }
        record.println("requests read around planned work and never answered: " + lost);
        return lost > 0 ? 1 : 0;
    }

    /** Returns how many requests were lost. */
    private static int runOn(Deployment.Vm vm, boolean trouble, PrintWriter record)
            throws Exception {
        record.println(vm.name);
        List<Socket> connections = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Socket connection = new Socket("127.0.0.1", vm.callerPort());
            connection.setTcpNoDelay(true);
            connections.add(connection);
            String queue = i % 2 == 0 ? "/none/" : "/jobs/";
            send(connection, "POST", queue + newId(), job(true), true);
            record.println(" connection " + i + ": POST " + queue + ": " + await(connection, 3_000));
        }
        if (trouble) {
            vm.terminate();
            record.println(" SIGTERM");
        }
        Thread.sleep(500);
        for (int i = 0; i < 4; i++) {
            if (i < 2) {
                send(connections.get(i), "GET", "/jobs/", "", false);
            } else {
                send(connections.get(i), "POST", "/jobs/" + newId(), job(false), false);
            }
        }
        List<Seen> all = new ArrayList<>();
        List<Thread> waiting = new ArrayList<>();
        for (Socket connection : connections) {
            all.add(null);
            int number = all.size() - 1;
            Thread thread =
                    new Thread(() -> all.set(number, await(connection, GRACE_MS + 1_000)));
            thread.start();
            waiting.add(thread);
        }
        int lost = 0;
        for (int i = 0; i < 4; i++) {
            waiting.get(i).join();
            Seen seen = all.get(i);
            lost += trouble && seen.lost() ? 1 : 0;
            String request = i < 2 ? "GET of the count" : "POST of a job that has to be kept";
            record.println(" connection " + i + ": " + request + ": " + seen);
            connections.get(i).close();
        }
        if (trouble) {
            vm.restart();
        }
        return lost;
    }

    private static String newId() {
        return String.format("%016x", System.nanoTime());
    }

    private static String job(boolean bestEffort) {
        return "{" + (bestEffort ? "\"BestEffort\":true," : "")
                + "\"Spec\":\"50\",\"Steps\":[{\"Count\":1,\"Cpu\":1000,\"MemMb\":64,"
                + "\"EstimateMs\":50}]}";
    }

    private static void send(
            Socket connection, String method, String path, String body, boolean inTwoSegments)
            throws IOException {
        String head =
                method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nDeadline-Ms: " + BUDGET_MS
                        + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                        + "\r\n\r\n";
        OutputStream out = connection.getOutputStream();
        if (inTwoSegments) {
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            Deployment.sleep(BODY_AFTER_MS);
            out.write(body.getBytes(StandardCharsets.US_ASCII));
        } else {
            out.write((head + body).getBytes(StandardCharsets.US_ASCII));
        }
    }

    /** Waits for a complete answer, for the end of the connection or for the time to be over. */
    private static Seen await(Socket connection, long timeoutMs) {
        long sentNs = System.nanoTime();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            connection.setSoTimeout((int) timeoutMs);
            InputStream in = connection.getInputStream();
            while (true) {
                int next = in.read();
                if (next < 0) {
                    return new Seen("", true, sinceMs(sentNs));
                }
                bytes.write(next);
                String text = bytes.toString(StandardCharsets.ISO_8859_1);
                int headEnd = text.indexOf("\r\n\r\n");
                if (headEnd > 0 && text.length() >= headEnd + 4 + contentLength(text)) {
                    return new Seen(text.substring(9, 12), false, sinceMs(sentNs));
                }
            }
        } catch (SocketTimeoutException e) {
            return new Seen("", false, sinceMs(sentNs));
        } catch (IOException e) {
            return new Seen("", true, sinceMs(sentNs));
        }
    }

    private static int contentLength(String head) {
        int at = head.toLowerCase().indexOf("content-length:");
        return at < 0 ? 0 : Integer.parseInt(head.substring(at + 15, head.indexOf("\r", at)).trim());
    }

    private static long sinceMs(long ns) {
        return (System.nanoTime() - ns) / 1_000_000;
    }
}
