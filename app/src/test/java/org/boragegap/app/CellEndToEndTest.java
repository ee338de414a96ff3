package org.boragegap.app;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;
import org.boragegap.entry.Settings;
import org.boragegap.entry.cell.CellNode;
import org.boragegap.standin.CellTargetStandin;
import org.boragegap.standin.LoopbackPorts;
import org.boragegap.standin.SampleCalls;
import org.boragegap.standin.StoreStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Sends jobs to two entry VMs that share a cell on the users' platform. The entry VMs run in this
 * process; the store and the targets are stand-ins, reached over real connections.
 */
final class CellEndToEndTest {
    private static final String HOST = "127.0.0.1";
    private static final long AWAIT_TIMEOUT_MS = 15_000;
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(10);

    private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(2);
    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<CellTargetStandin> mTargets = new ArrayList<>();
    private final List<CellNode> mNodes = new ArrayList<>();
    private final List<Integer> mCallerPorts = new ArrayList<>();
    private final List<Integer> mMetricsPorts = new ArrayList<>();
    private StoreStandin mStore;
    private int mStorePort;

    @BeforeEach
    void start() throws Exception {
        mStorePort = LoopbackPorts.next();
        mStore = StoreStandin.create(HOST, mStorePort, mTimer);
        mStore.start();
        putConfiguration(1, "/jobs/");
        for (int i = 0; i < 2; i++) {
            CellTargetStandin target =
                    CellTargetStandin.create(
                            "t" + i, HOST, LoopbackPorts.next(), "tasks", mStore, mTimer);
            target.start();
            mTargets.add(target);
        }
        for (int i = 0; i < 2; i++) {
            startNode();
        }
        await(() -> submit(0, "ffffffffffffff00", 1, "5").status() == 200);
        await(() -> submit(1, "ffffffffffffff01", 1, "5").status() == 200);
    }

    @AfterEach
    void stop() {
        mNodes.forEach(CellNode::stop);
        mTargets.forEach(CellTargetStandin::stop);
        mStore.stop();
        mTimer.shutdownNow();
    }

    private void putConfiguration(int version, String... prefixes) {
        SampleCalls.putConfiguration(mStore, version, prefixes);
    }

    private void startNode() throws Exception {
        int callerPort = LoopbackPorts.next();
        int metricsPort = LoopbackPorts.next();
        CellNode node = newNode(callerPort, metricsPort);
        node.start();
        mNodes.add(node);
        mCallerPorts.add(callerPort);
        mMetricsPorts.add(metricsPort);
    }

    private CellNode newNode(int callerPort, int metricsPort) throws Exception {
        String ini =
                String.join(
                        "\n",
                        "[vm]",
                        "failure_domain = a",
                        "peer_address = " + HOST + ":" + LoopbackPorts.next(),
                        "caller_address = " + HOST + ":" + callerPort,
                        "operator_address = " + HOST + ":" + LoopbackPorts.next(),
                        "metrics_address = " + HOST + ":" + metricsPort,
                        "[deployment]",
                        "failure_domains = a",
                        "[platform]",
                        "log = " + HOST + ":" + mStorePort,
                        "vm_list = " + HOST + ":" + mStorePort,
                        "store = " + HOST + ":" + mStorePort);
        Settings settings =
                ((Settings.ReadResult.Valid) Settings.parse("test.ini", ini)).settings();
        return CellNode.create(settings, mNodes.size() + 1, CellNode.clock());
    }

    /** Number of live threads that entry processes start for decisions, timers and calls. */
    private static long entryProcessThreads() {
        Set<String> names = Set.of("control", "timer", "http-sweeper");
        return Thread.getAllStackTraces().keySet().stream()
                .filter(thread -> names.contains(thread.getName()))
                .count();
    }

    private record Answer(int status, String body) {}

    private Answer submit(int node, String id, int tasks, String spec) {
        return submitAsync(node, "/jobs/" + id, tasks, spec).join();
    }

    private CompletableFuture<Answer> submitAsync(int node, String path, int tasks, String spec) {
        String body = SampleCalls.jobBody(tasks, spec);
        return postAsync(node, path, HttpRequest.BodyPublishers.ofString(body));
    }

    private CompletableFuture<Answer> postAsync(
            int node, String path, HttpRequest.BodyPublisher body) {
        URI uri = URI.create("http://" + HOST + ":" + mCallerPorts.get(node) + path);
        HttpRequest request =
                HttpRequest.newBuilder(uri)
                        .header("Deadline-Ms", "5000")
                        .timeout(ANSWER_TIMEOUT)
                        .POST(body)
                        .build();
        return mClient.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .thenApply(response -> new Answer(response.statusCode(), response.body()))
                .exceptionally(error -> new Answer(0, error.toString()));
    }

    /** Polls a condition until it holds; the timeout is so long that only a failure reaches it. */
    private static void await(BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT_MS * 1_000_000;
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).isLessThan(deadlineNanos);
            Thread.onSpinWait();
        }
    }

    private Map<String, Integer> starts() {
        Map<String, Integer> starts = new HashMap<>();
        for (CellTargetStandin target : mTargets) {
            target.starts().forEach((task, count) -> starts.merge(task, count, Integer::sum));
        }
        return starts;
    }

    private int controllerNode() {
        for (int node = 0; node < mNodes.size(); node++) {
            String metrics = get(mMetricsPorts.get(node), "/metrics").body();
            if (metrics.lines().anyMatch(line -> line.matches("boragegap_control_fence [1-9].*"))) {
                return node;
            }
        }
        return -1;
    }

    private Answer get(int port, String path) {
        URI uri = URI.create("http://" + HOST + ":" + port + path);
        return mClient.sendAsync(
                        HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString())
                .thenApply(response -> new Answer(response.statusCode(), response.body()))
                .exceptionally(error -> new Answer(0, ""))
                .join();
    }

    @Nested
    final class Serving {
        @Test
        void jobsSentToAnyEntryVmRunOnceAndAreAnswered() {
            List<CompletableFuture<Answer>> answers = new ArrayList<>();
            for (int job = 0; job < 20; job++) {
                String path = "/jobs/" + String.format("%016x", job);
                answers.add(submitAsync(job % 2, path, 2, "20"));
            }
            for (CompletableFuture<Answer> answer : answers) {
                assertThat(answer.join().body()).isEqualTo("{\"State\":\"completed\"}");
            }
            Map<String, Integer> starts = starts();
            assertThat(starts).hasSize(2 * 20 + 2);
            assertThat(starts.values().stream().allMatch(count -> count == 1)).isTrue();
            mTargets.forEach(target -> assertThat(target.maxRunning()).isAtMost(2));
        }

        @Test
        void theSameIdIsTheSameJobAtAnyEntryVm() {
            CompletableFuture<Answer> first = submitAsync(0, "/jobs/00000000000000aa", 1, "300");
            CompletableFuture<Answer> second = submitAsync(1, "/jobs/00000000000000aa", 1, "300");
            assertThat(first.join().status()).isEqualTo(200);
            assertThat(second.join().status()).isEqualTo(200);
            assertThat(starts()).containsEntry("00000000000000aa.0.0.0", 1);
        }

        @Test
        void unconfiguredQueueIsNotFound() {
            Answer answer = submitAsync(0, "/other/00000000000000ab", 1, "5").join();
            assertThat(answer.status()).isEqualTo(404);
        }

        @Test
        void unsupportedJobIsRefusedWithAReason() {
            HttpRequest.BodyPublisher stored =
                    HttpRequest.BodyPublishers.ofString("{\"Spec\":\"1\",\"Steps\":[]}");
            Answer answer = postAsync(0, "/jobs/00000000000000ac", stored).join();
            assertThat(answer.status()).isEqualTo(503);
            assertThat(answer.body()).contains("not served yet");
        }

        @Test
        void invalidJsonIsABadRequest() {
            HttpRequest.BodyPublisher body = HttpRequest.BodyPublishers.ofString("{");
            assertThat(postAsync(0, "/jobs/00000000000000ad", body).join().status()).isEqualTo(400);
        }

        /** Guards against counters that miss the decisions by which a term begins and settles. */
        @Test
        void termsOfTheControllerAreCounted() throws Exception {
            await(() -> controllerNode() >= 0);
            String metrics = get(mMetricsPorts.get(controllerNode()), "/metrics").body();
            assertThat(metrics).containsMatch("(?m)^boragegap_terms_total [1-9]");
            assertThat(metrics)
                    .containsMatch("(?m)^boragegap_terms_settled_total\\{evidence=\".+\"} [1-9]");
        }

        @Test
        void newConfigurationTakesEffectAtAllEntryVms() throws Exception {
            putConfiguration(2, "/jobs/", "/new/");
            await(() -> submitAsync(0, "/new/00000000000000ae", 1, "5").join().status() == 200);
            await(() -> submitAsync(1, "/new/00000000000000af", 1, "5").join().status() == 200);
        }
    }

    @Nested
    final class Failures {
        /**
         * The VM that controls the cell stops while a caller of the other VM waits for a job. The
         * caller still gets its answer. The next controller finds the running task in the target's
         * report, so it does not start a second run beside it.
         */
        @Test
        void waitingCallerIsAnsweredAfterControllerFailover() throws Exception {
            await(() -> controllerNode() >= 0);
            int controller = controllerNode();
            int other = 1 - controller;
            CompletableFuture<Answer> answer =
                    submitAsync(other, "/jobs/00000000000000ba", 1, "1500");
            await(() -> starts().containsKey("00000000000000ba.0.0.0"));
            mNodes.get(controller).stop();
            assertThat(answer.join().body()).isEqualTo("{\"State\":\"completed\"}");
            await(() -> controllerNode() == other);
            assertThat(submit(other, "00000000000000bb", 1, "5").status()).isEqualTo(200);
        }

        /**
         * Targets carry out orders, but the answers to the orders are lost. The caller gets its
         * answer, and no target exceeds its capacity: when a start is not answered, the controller
         * asks the target whether the task runs before it starts the task elsewhere.
         */
        @Test
        void lostAnswersDoNotOverloadTargets() throws Exception {
            mTargets.forEach(target -> target.answerMode(CellTargetStandin.AnswerMode.LOST));
            Answer answer = submit(0, "00000000000000ca", 2, "100");
            assertThat(answer.status()).isEqualTo(200);
            mTargets.forEach(target -> assertThat(target.maxRunning()).isAtMost(2));
        }

        /**
         * A target reports that it is leaving. It gets no new tasks; the other target runs them.
         */
        @Test
        void leavingTargetStartsNoNewTasks() throws Exception {
            mTargets.get(0).drain();
            mStore.put("keyed.op", "marker", "{}");
            CellTargetStandin leaving = mTargets.get(0);
            await(
                    () -> {
                        int before = leaving.starts().size();
                        for (int i = 0; i < 4; i++) {
                            submit(0, String.format("%014x%02x", System.nanoTime(), i), 2, "5");
                        }
                        return leaving.starts().size() == before;
                    });
            int before = leaving.starts().size();
            assertThat(submit(1, "00000000000000da", 2, "5").status()).isEqualTo(200);
            assertThat(leaving.starts()).hasSize(before);
        }

        /**
         * The store is unavailable to all entry VMs, for longer than the group keeps a silent
         * member. Jobs that need not be stored are still served: while the store is down, it cannot
         * assign the cell to another VM.
         */
        @Test
        void jobsAreServedDuringAStoreOutage() throws Exception {
            mStore.down(true);
            long endNanos = System.nanoTime() + 3_000_000_000L;
            int served = 0;
            int submitted = 0;
            while (System.nanoTime() < endNanos) {
                submitted++;
                String id = String.format("e%015x", submitted);
                served += submit(submitted % 2, id, 1, "20").status() == 200 ? 1 : 0;
            }
            mStore.down(false);
            assertThat(served).isAtLeast(submitted * 9 / 10);
        }

        /**
         * The metrics address of a process is in use when it starts. The start fails with that
         * error, and none of its threads keeps running. In an earlier version its store clients
         * kept running, so this VM could have been assigned a cell that no caller reaches.
         */
        @Test
        void failedStartLeavesNoThreadsRunning() throws Exception {
            long before = entryProcessThreads();
            CellNode node = newNode(LoopbackPorts.next(), mMetricsPorts.get(0));
            assertThrows(IOException.class, node::start);
            await(() -> entryProcessThreads() <= before);
        }

        /**
         * The store deletes the history of the operators' topic before and after a new
         * configuration is written. An entry VM still applies the new configuration.
         */
        @Test
        void configurationIsReadAfterCompaction() throws Exception {
            mStore.compact("keyed.op");
            putConfiguration(3, "/jobs/", "/after/");
            mStore.compact("keyed.op");
            await(() -> submitAsync(0, "/after/00000000000000ea", 1, "5").join().status() == 200);
        }
    }
}
