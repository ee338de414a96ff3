package org.boragegap.app;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Kills, pauses and cuts off whole processes that talk over loopback sockets. The target stand-ins
 * count the starts of each task.
 */
final class ProcessFailureTest {
    private static final long MAX_ACTIVATION_MS = 14_000;
    private static final String REQUESTS_PATH = "/v1/services/catalogue/requests";
    private static final String BUNDLE_BODY = "{\"teams\":{},\"kinds\":{}}";
    private BundleSigners mSigners;
    private ProcessDeployment mDeployment;
    private ExecutorService mCallerPool;

    @BeforeEach
    void start() throws Exception {
        mSigners = new BundleSigners();
        mDeployment = new ProcessDeployment(2, 2, 2, mSigners.settings());
        mCallerPool = Executors.newFixedThreadPool(32);
    }

    @AfterEach
    void stop() throws Exception {
        mCallerPool.shutdownNow();
        mDeployment.stop();
    }

    private ProcessDeployment.EntryProcess entryProcess(int domain, int number) {
        return mDeployment.entryProcessesOf(domain).get(number);
    }

    private Future<HttpResponse<String>> submit(
            ProcessDeployment.EntryProcess entry, String path, String body) {
        return mCallerPool.submit(() -> ProcessDeployment.post(entry.mCallerAddress, path, body));
    }

    private void awaitStarted(String id) throws Exception {
        mDeployment.await("a start of " + id, () -> startsOf(id) > 0);
    }

    private int startsOf(String id) throws Exception {
        int starts = 0;
        for (Map.Entry<String, Integer> entry : mDeployment.starts().entrySet()) {
            starts += entry.getKey().startsWith(id + "/") ? entry.getValue() : 0;
        }
        return starts;
    }

    private void assertNothingStartedTwice() throws Exception {
        for (Map.Entry<String, Integer> entry : mDeployment.starts().entrySet()) {
            assertWithMessage("starts of %s", entry.getKey()).that(entry.getValue()).isEqualTo(1);
        }
    }

    private void awaitMembers(ProcessDeployment.EntryProcess entry, int members) throws Exception {
        mDeployment.await(
                members + " members as seen by " + entry.mCallerAddress,
                () -> mDeployment.dump(entry).at("/view/members").size() == members);
    }

    @Nested
    final class KilledVm {
        /**
         * A client's job is running when its entry VM is killed, and the client sends it again to
         * the sibling. The sibling does not know which tasks have run, so it answers at once that
         * the job may have run, and starts nothing. It serves new jobs, and the restarted VM gives
         * the same answer for the old one.
         */
        @Test
        void runningJobEndsInDoubtAndNewJobsAreServed() throws Exception {
            awaitMembers(entryProcess(0, 1), 2);
            String id = RequestBodies.newId(0);
            String body = RequestBodies.job(id, "held", 20, 1_500, 20_000);
            submit(entryProcess(0, 0), "/v1/jobs", body);
            awaitStarted(id);
            ProcessDeployment.sendSignal(entryProcess(0, 0), "KILL");
            awaitMembers(entryProcess(0, 1), 1);

            long sentNs = System.nanoTime();
            HttpResponse<String> copy = submit(entryProcess(0, 1), "/v1/jobs", body).get();
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNs);
            System.out.println("copy of a dead VM's job answered after ms: " + tookMs);
            assertWithMessage(copy.body()).that(copy.statusCode()).isEqualTo(504);
            assertThat(ProcessDeployment.parseJson(copy).path("outcome").asText())
                    .isEqualTo("may_have_run");
            String newJob = RequestBodies.job(RequestBodies.newId(0), "next", 4, 20, 20_000);
            assertThat(submit(entryProcess(0, 1), "/v1/jobs", newJob).get().statusCode())
                    .isEqualTo(200);

            mDeployment.start(entryProcess(0, 0));
            mDeployment.awaitReady(entryProcess(0, 0));
            HttpResponse<String> secondCopy = submit(entryProcess(0, 0), "/v1/jobs", body).get();
            assertWithMessage(secondCopy.body()).that(secondCopy.statusCode()).isEqualTo(504);
            assertNothingStartedTwice();
        }
    }

    @Nested
    final class PausedVm {
        /**
         * An entry VM is paused while its job is running, and does not notice. Its sibling forms a
         * view without it and answers a copy of the job that it may have run. The paused VM
         * resumes, finishes its job, learns that it is no longer in the view and rejoins. No task
         * starts twice.
         */
        @Test
        void resumedVmStartsNoTaskTwice() throws Exception {
            awaitMembers(entryProcess(0, 1), 2);
            String id = RequestBodies.newId(0);
            String body = RequestBodies.job(id, "paused", 60, 300, 20_000);
            Future<HttpResponse<String>> first = submit(entryProcess(0, 0), "/v1/jobs", body);
            awaitStarted(id);
            ProcessDeployment.sendSignal(entryProcess(0, 0), "STOP");
            awaitMembers(entryProcess(0, 1), 1);
            HttpResponse<String> copy = submit(entryProcess(0, 1), "/v1/jobs", body).get();
            assertWithMessage(copy.body()).that(copy.statusCode()).isEqualTo(504);
            ProcessDeployment.sendSignal(entryProcess(0, 0), "CONT");

            HttpResponse<String> answer = first.get();
            assertWithMessage(answer.body()).that(answer.statusCode()).isAnyOf(200, 504);
            awaitMembers(entryProcess(0, 0), 2);
            assertNothingStartedTwice();
        }
    }

    @Nested
    final class LogOutage {
        /**
         * The platform's log is down. Running entry VMs keep serving, since a claim needs only the
         * siblings. A VM that is killed and restarted meanwhile can't know what was started before,
         * so it is not ready for callers until the log is back.
         */
        @Test
        void runningVmsServeAndARestartedOneIsNotReady() throws Exception {
            awaitMembers(entryProcess(0, 1), 2);
            mDeployment.setLogMode(0, "DOWN");
            mDeployment.setLogMode(1, "DOWN");
            for (int i = 0; i < 10; i++) {
                String body = RequestBodies.job(RequestBodies.newId(0), "out-" + i, 2, 10, 20_000);
                HttpResponse<String> answer =
                        submit(entryProcess(0, i % 2), "/v1/jobs", body).get();
                assertWithMessage(answer.body()).that(answer.statusCode()).isEqualTo(200);
            }
            ProcessDeployment.sendSignal(entryProcess(0, 0), "KILL");
            mDeployment.start(entryProcess(0, 0));
            mDeployment.await(
                    "the restarted VM to report that it is not ready",
                    () ->
                            ProcessDeployment.get(entryProcess(0, 0).mOperatorAddress, "/readyz")
                                            .statusCode()
                                    == 503);
            mDeployment.setLogMode(0, "UP");
            mDeployment.setLogMode(1, "UP");
            mDeployment.awaitReady(entryProcess(0, 0));
            awaitMembers(entryProcess(0, 1), 2);
            assertNothingStartedTwice();
        }

        /**
         * The log's replies to appends are lost while a VM is replaced, though the appends take
         * effect. The entry VMs find the view record by reading the log; proposing it again changes
         * nothing.
         */
        @Test
        void lostRepliesDoNotBlockAReplacement() throws Exception {
            awaitMembers(entryProcess(0, 1), 2);
            ProcessDeployment.sendSignal(entryProcess(0, 0), "KILL");
            mDeployment.setLogMode(0, "LOSE_REPLIES");
            mDeployment.start(entryProcess(0, 0));
            int before = mDeployment.logAppends();
            mDeployment.await("an append without a reply", () -> mDeployment.logAppends() > before);
            mDeployment.setLogMode(0, "UP");
            mDeployment.awaitReady(entryProcess(0, 0));
            awaitMembers(entryProcess(0, 1), 2);
        }
    }

    @Nested
    final class DomainWithoutPlatform {
        /**
         * One failure domain can reach neither the platform's log nor its VM list. It still serves
         * all requests that it gets, and receives a bundle published in another domain from its
         * peers.
         */
        @Test
        void domainServesAllRequestsAndReceivesTheBundle() throws Exception {
            awaitMembers(entryProcess(0, 1), 2);
            mDeployment.setLogMode(0, "DOWN");
            mDeployment.setVmListDown(0, true);
            List<Future<HttpResponse<String>>> answers = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                String body =
                        RequestBodies.request(RequestBodies.newId(0), "r" + i, false, 20, 20_000);
                answers.add(submit(entryProcess(0, i % 2), REQUESTS_PATH, body));
            }
            for (Future<HttpResponse<String>> answer : answers) {
                assertThat(answer.get().statusCode()).isEqualTo(200);
            }
            long publishedMs = System.currentTimeMillis();
            HttpResponse<String> published = publish(entryProcess(1, 0), 1, "", "p1");
            assertWithMessage(published.body()).that(published.statusCode()).isEqualTo(200);
            mDeployment.await(
                    "the bundle in the domain without the platform",
                    () ->
                            bundleVersion(entryProcess(0, 0)) == 1
                                    && bundleVersion(entryProcess(0, 1)) == 1);
            for (ProcessDeployment.EntryProcess entry : mDeployment.entryProcesses()) {
                long sinceMs = mDeployment.dump(entry).path("bundleSinceMs").asLong();
                System.out.println("in force after ms: " + (sinceMs - publishedMs));
                assertThat(sinceMs - publishedMs).isLessThan(MAX_ACTIVATION_MS);
            }
            assertNothingStartedTwice();
        }
    }

    private long bundleVersion(ProcessDeployment.EntryProcess entry) throws Exception {
        return mDeployment.dump(entry).path("bundleVersion").asLong();
    }

    private HttpResponse<String> publish(
            ProcessDeployment.EntryProcess entry, long version, String parent, String publication)
            throws Exception {
        String bundle = mSigners.signedBundle(version, parent, publication, BUNDLE_BODY);
        return ProcessDeployment.post(entry.mOperatorAddress, "/v1/bundles", bundle);
    }

    @Nested
    final class ConcurrentPublications {
        /**
         * Two operators publish different bundles with the same parent at once, through different
         * failure domains. One bundle is accepted and takes effect everywhere; the other operator
         * is told of the conflict. An old bundle that is published again changes nothing.
         */
        @Test
        void onePublicationIsAcceptedAndTheOtherConflicts() throws Exception {
            Future<HttpResponse<String>> one =
                    mCallerPool.submit(() -> publish(entryProcess(0, 0), 1, "", "one"));
            Future<HttpResponse<String>> other =
                    mCallerPool.submit(() -> publish(entryProcess(1, 0), 1, "", "other"));
            List<Integer> statuses = List.of(one.get().statusCode(), other.get().statusCode());
            assertThat(statuses).containsExactly(200, 409);

            String winner = one.get().statusCode() == 200 ? "one" : "other";
            assertThat(publish(entryProcess(1, 1), 2, winner, "two").statusCode()).isEqualTo(200);
            for (ProcessDeployment.EntryProcess entry : mDeployment.entryProcesses()) {
                mDeployment.await("bundle version 2", () -> bundleVersion(entry) == 2);
            }
            assertThat(publish(entryProcess(0, 1), 1, "", winner).statusCode()).isEqualTo(200);
            assertThat(bundleVersion(entryProcess(0, 1))).isEqualTo(2);
        }

        /**
         * An operator publishes a bundle while the log's replies are lost. The record has been
         * appended, and the entry VM learns the outcome by reading it from the log.
         */
        @Test
        void lostReplyIsResolvedByReadingTheLog() throws Exception {
            mDeployment.setLogMode(0, "LOSE_REPLIES");
            Future<HttpResponse<String>> published =
                    mCallerPool.submit(() -> publish(entryProcess(0, 0), 1, "", "p1"));
            mDeployment.await(
                    "the bundle in the other domain", () -> bundleVersion(entryProcess(1, 0)) == 1);
            mDeployment.setLogMode(0, "UP");
            assertThat(published.get().statusCode()).isEqualTo(200);
        }
    }

    @Nested
    final class Draining {
        /**
         * An operator sends SIGTERM to an entry VM under load, twice. Every request in flight gets
         * its complete answer, later ones are refused as not run or answered by the sibling, and
         * the process exits by itself with code 0.
         */
        @Test
        void requestsInFlightAreCompleted() throws Exception {
            awaitMembers(entryProcess(0, 1), 2);
            List<Future<HttpResponse<String>>> answers = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                String body = RequestBodies.job(RequestBodies.newId(0), "d" + i, 4, 700, 20_000);
                answers.add(submit(entryProcess(0, 0), "/v1/jobs", body));
            }
            mDeployment.await(
                    "jobs in flight",
                    () -> mDeployment.dump(entryProcess(0, 0)).path("runningAttempts").asInt() > 0);
            ProcessDeployment.sendSignal(entryProcess(0, 0), "TERM");
            ProcessDeployment.sendSignal(entryProcess(0, 0), "TERM");
            for (Future<HttpResponse<String>> answer : answers) {
                HttpResponse<String> response = answer.get();
                assertWithMessage(response.body()).that(response.statusCode()).isEqualTo(200);
            }
            assertThat(entryProcess(0, 0).mProcess.waitFor(20, TimeUnit.SECONDS)).isTrue();
            assertThat(entryProcess(0, 0).mProcess.exitValue()).isEqualTo(0);
            awaitMembers(entryProcess(0, 1), 1);
            assertNothingStartedTwice();
        }
    }

    @Nested
    final class UnresponsiveMinions {
        /**
         * A minion starts requests and never answers. A request to it that is not idempotent is
         * sent only once and ends at its deadline as one that may have run; an idempotent one is
         * sent to another minion and answered.
         */
        @Test
        void onlyIdempotentRequestsAreSentAgain() throws Exception {
            mDeployment.setMinionMode(0, "FREEZE");
            List<String> ids = new ArrayList<>();
            List<Future<HttpResponse<String>>> answers = new ArrayList<>();
            for (int i = 0; i < 16; i++) {
                boolean idempotent = i % 2 == 0;
                String id = RequestBodies.newId(0);
                ids.add(id);
                String body = RequestBodies.request(id, "r" + i, idempotent, 20, 4_000);
                answers.add(submit(entryProcess(0, i / 2 % 2), REQUESTS_PATH, body));
            }
            for (int i = 0; i < answers.size(); i++) {
                HttpResponse<String> response = answers.get(i).get();
                JsonNode json = ProcessDeployment.parseJson(response);
                if (i % 2 == 0) {
                    assertWithMessage(response.body())
                            .that(json.path("result").asText())
                            .isEqualTo("r" + i);
                } else {
                    assertThat(startsOf(ids.get(i))).isAtMost(1);
                    assertThat(response.statusCode()).isAnyOf(200, 504);
                }
            }
        }
    }
}
