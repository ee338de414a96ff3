package org.boragegap.app;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.boragegap.standin.SampleCalls;

/**
 * Callers that submit one job after the other over open connections. After no answer, a broken
 * connection, a 502 or a 504, a caller submits the job again with the same id at any entry VM.
 */
final class SoakCallers {
    static final String PREFIX = "/jobs/";
    private static final int CALLERS = 16;
    private static final int MAX_TASKS = 2;
    private static final int MIN_TASK_MS = 200;
    private static final int MAX_TASK_MS = 900;
    private static final long DEADLINE_MS = 5_000;
    private static final long RESEND_MS = 100;

    /** How long a caller keeps submitting one job, in ms. */
    private static final long GIVE_UP_MS = 15_000;

    /** What a caller was told about a job. */
    enum Outcome {
        COMPLETED,
        FAILED,

        /** Each attempt was refused as not run. */
        REFUSED,

        /** Refused after an attempt without an answer, which may have run the job. */
        REFUSED_LATER,
        NO_ANSWER;

        static Outcome of(HttpResponse<String> answer) {
            return switch (answer.statusCode()) {
                case 200 -> answer.body().contains("completed") ? COMPLETED : FAILED;
                case 429, 503 -> REFUSED;
                default -> NO_ANSWER;
            };
        }
    }

    /** A job and what its caller was told. */
    record Job(String id, int tasks, Outcome outcome, String lastAnswer) {}

    private record Attempt(Outcome outcome, String answer) {}

    private static final Attempt NOT_ANSWERED = new Attempt(Outcome.NO_ANSWER, "");

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final ExecutorService mThreads = Executors.newFixedThreadPool(CALLERS);
    private final Map<String, Job> mJobs = new ConcurrentHashMap<>();
    private final List<CellProcesses.EntryVm> mEntryVms;
    private final SplittableRandom mRandom;
    private volatile boolean mStopped;

    private SoakCallers(List<CellProcesses.EntryVm> entryVms, SplittableRandom random) {
        mEntryVms = entryVms;
        mRandom = random;
    }

    static SoakCallers create(List<CellProcesses.EntryVm> entryVms, SplittableRandom random) {
        return new SoakCallers(entryVms, random);
    }

    void start() {
        for (int i = 0; i < CALLERS; i++) {
            SplittableRandom random = mRandom.split();
            mThreads.execute(() -> submitJobs(random));
        }
    }

    /** Submits no further jobs, and waits for the answers to those that were submitted. */
    void stop() throws InterruptedException {
        mStopped = true;
        mThreads.shutdown();
        if (!mThreads.awaitTermination(2 * GIVE_UP_MS, TimeUnit.MILLISECONDS)) {
            mThreads.shutdownNow();
        }
    }

    Map<String, Job> jobs() {
        return mJobs;
    }

    private void submitJobs(SplittableRandom random) {
        try {
            while (!mStopped) {
                String id = String.format("%016x", random.nextLong());
                int tasks = 1 + random.nextInt(MAX_TASKS);
                int taskMs = random.nextInt(MIN_TASK_MS, MAX_TASK_MS + 1);
                String body = SampleCalls.jobBody(tasks, Integer.toString(taskMs));
                Attempt last = submit(id, body, random);
                mJobs.put(id, new Job(id, tasks, last.outcome(), last.answer()));
                if (last.outcome() != Outcome.COMPLETED) {
                    TimeUnit.MILLISECONDS.sleep(RESEND_MS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Attempt submit(String id, String body, SplittableRandom random)
            throws InterruptedException {
        boolean unanswered = false;
        long giveUpNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(GIVE_UP_MS);
        while (System.nanoTime() < giveUpNs) {
            Attempt attempt = submitOnce(id, body, random);
            if (attempt.outcome() == Outcome.REFUSED && unanswered) {
                return new Attempt(Outcome.REFUSED_LATER, attempt.answer());
            }
            if (attempt.outcome() != Outcome.NO_ANSWER) {
                return attempt;
            }
            unanswered = true;
            TimeUnit.MILLISECONDS.sleep(RESEND_MS);
        }
        return NOT_ANSWERED;
    }

    private Attempt submitOnce(String id, String body, SplittableRandom random)
            throws InterruptedException {
        String address = mEntryVms.get(random.nextInt(mEntryVms.size())).callerAddress();
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + PREFIX + id))
                        .header("Deadline-Ms", Long.toString(DEADLINE_MS))
                        .timeout(Duration.ofMillis(DEADLINE_MS))
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        try {
            HttpResponse<String> answer =
                    mClient.send(request, HttpResponse.BodyHandlers.ofString());
            return new Attempt(Outcome.of(answer), answer.statusCode() + " " + answer.body());
        } catch (IOException e) {
            return NOT_ANSWERED;
        }
    }
}
