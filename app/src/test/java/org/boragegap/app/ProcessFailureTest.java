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

/** Failures of whole processes, over loopback sockets; the targets count what was started. */
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
         * A student's job is running when its entry VM dies, and the client sends it again to the
         * sibling. Whether the rest ran is not known there, so the answer is at once that it may
         * have run; nothing is started again. New jobs go on, also after the VM is replaced.
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

            long copiedNs = System.nanoTime();
            HttpResponse<String> copy = submit(entryProcess(0, 1), "/v1/jobs", body).get();
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - copiedNs);
            System.out.println("copy of a dead VM's job answered after ms: " + tookMs);
            assertWithMessage(copy.body()).that(copy.statusCode()).isEqualTo(504);
            assertThat(ProcessDeployment.parseJson(copy).path("outcome").asText())
                    .isEqualTo("may_have_run");
            String next = RequestBodies.job(RequestBodies.newId(0), "next", 4, 20, 20_000);
            assertThat(submit(entryProcess(0, 1), "/v1/jobs", next).get().statusCode())
                    .isEqualTo(200);

            mDeployment.start(entryProcess(0, 0));
            mDeployment.awaitReady(entryProcess(0, 0));
            HttpResponse<String> again = submit(entryProcess(0, 0), "/v1/jobs", body).get();
            assertWithMessage(again.body()).that(again.statusCode()).isEqualTo(504);
            assertNothingStartedTwice();
        }
    }

    @Nested
    final class PausedVm {
        /**
         * An entry VM is stopped for a while with a job half started, unaware of it. Its sibling
         * goes on alone and answers a copy of the job with doubt. The paused VM wakes, finishes its
         * job, finds that the view has moved on, and comes back; no task was started twice.
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
         * The platform's log is out. Entry VMs that run go on as before, since a claim needs only
         * the siblings. A VM that dies and comes back meanwhile can't know what was started, so it
         * takes no callers until the log is back.
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
                    "the new VM to be up",
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
         * Appends take effect but their replies are lost, while a VM is replaced. The view record
         * is found by reading, and proposing it again changes nothing.
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
         * One failure domain loses the platform: its log and its VM list. It goes on serving all
         * that comes to it, and it gets a bundle that is published elsewhere from its peers.
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
                    "the bundle in the domain that is cut off",
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
         * Two operators publish different bundles on the same parent through different failure
         * domains at once. One is accepted and in force everywhere, the other operator is told of
         * the conflict. An old bundle that is sent again changes nothing.
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
                mDeployment.await("version 2", () -> bundleVersion(entry) == 2);
            }
            assertThat(publish(entryProcess(0, 1), 1, "", winner).statusCode()).isEqualTo(200);
            assertThat(bundleVersion(entryProcess(0, 1))).isEqualTo(2);
        }

        /**
         * An operator publishes while the log loses its replies. The record is there, and reading
         * it back gives the answer.
         */
        @Test
        void lostReplyIsResolvedByReadingTheLog() throws Exception {
            mDeployment.setLogMode(0, "LOSE_REPLIES");
            Future<HttpResponse<String>> published =
                    mCallerPool.submit(() -> publish(entryProcess(0, 0), 1, "", "p1"));
            mDeployment.await("the bundle elsewhere", () -> bundleVersion(entryProcess(1, 0)) == 1);
            mDeployment.setLogMode(0, "UP");
            assertThat(published.get().statusCode()).isEqualTo(200);
        }
    }

    @Nested
    final class Draining {
        /**
         * An operator stops an entry VM under load, and stops it again out of impatience. Every
         * request in flight gets its whole answer, later ones are refused as not run or answered by
         * the sibling, and the process ends by itself with code 0.
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
         * Minions take requests and never answer. A meter billing is sent once and ends in doubt at
         * its deadline; a seat check is sent elsewhere and answered.
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
