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
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Sends jobs and service requests to a deployment of separate processes over loopback sockets:
 * three failure domains with two entry VMs in each.
 */
final class EndToEndTest {
    private static final int DOMAINS = 3;
    private static final int CALLER_THREADS = 24;
    private static ProcessDeployment sDeployment;
    private static ExecutorService sCallerPool;

    @BeforeAll
    static void start() throws Exception {
        sDeployment = new ProcessDeployment(DOMAINS, 2, 2, "");
        sCallerPool = Executors.newFixedThreadPool(CALLER_THREADS);
    }

    @AfterAll
    static void stop() throws Exception {
        sCallerPool.shutdownNow();
        sDeployment.stop();
    }

    private static String callerAddress(int number) {
        List<ProcessDeployment.EntryProcess> entries = sDeployment.entryProcesses();
        return entries.get(Math.floorMod(number, entries.size())).mCallerAddress;
    }

    @Nested
    final class Jobs {
        @Test
        void largeJobIsAnsweredInFullAndEveryTaskStartsOnce() throws Exception {
            String id = RequestBodies.newId();
            HttpResponse<String> response =
                    ProcessDeployment.post(
                            callerAddress(1),
                            "/v1/jobs",
                            RequestBodies.job(id, "big", 360, 50, 30_000));

            assertWithMessage(response.body()).that(response.statusCode()).isEqualTo(200);
            JsonNode results = ProcessDeployment.parseJson(response).path("results");
            assertThat(results.size()).isEqualTo(360);
            Map<String, Integer> starts = sDeployment.starts();
            for (int i = 0; i < results.size(); i++) {
                assertThat(results.get(i).asText()).isEqualTo("big/" + i);
                assertThat(starts).containsEntry(id + "/" + i, 1);
            }
        }

        /**
         * A client sends its job, gets no answer for a while and sends it again, to every entry VM
         * of every failure domain at once. Each copy gets the same complete answer, and no task
         * starts twice, since all copies reach the one VM that holds the claim.
         */
        @Test
        void duplicatesSentToAllEntryVmsAreOneSubmission() throws Exception {
            String id = RequestBodies.newId();
            String body = RequestBodies.job(id, "copied", 12, 200, 30_000);
            List<Future<HttpResponse<String>>> copies = new ArrayList<>();
            for (int i = 0; i < 2 * sDeployment.entryProcesses().size(); i++) {
                String address = callerAddress(i);
                copies.add(
                        sCallerPool.submit(
                                () -> ProcessDeployment.post(address, "/v1/jobs", body)));
            }
            for (Future<HttpResponse<String>> copy : copies) {
                HttpResponse<String> response = copy.get();
                assertWithMessage(response.body()).that(response.statusCode()).isEqualTo(200);
                assertThat(ProcessDeployment.parseJson(response).path("results").size())
                        .isEqualTo(12);
            }
            Map<String, Integer> starts = sDeployment.starts();
            for (int i = 0; i < 12; i++) {
                assertThat(starts).containsEntry(id + "/" + i, 1);
            }
        }

        @Test
        void theSameIdWithAnotherBodyIsAConflict() throws Exception {
            String id = RequestBodies.newId();
            String first = RequestBodies.job(id, "first", 1, 10, 30_000);
            String second = RequestBodies.job(id, "second", 1, 10, 30_000);
            assertThat(ProcessDeployment.post(callerAddress(0), "/v1/jobs", first).statusCode())
                    .isEqualTo(200);
            HttpResponse<String> response =
                    ProcessDeployment.post(callerAddress(3), "/v1/jobs", second);

            assertWithMessage(response.body()).that(response.statusCode()).isEqualTo(409);
            assertThat(sDeployment.starts()).containsEntry(id + "/0", 1);
        }

        @Test
        void anAsynchronousJobIsFoundThroughAnyEntryVm() throws Exception {
            String body = RequestBodies.job("x", "later", 2, 50, 30_000);
            String async = body.replace("\"id\":\"x\",", "\"async\":true,");
            HttpResponse<String> accepted =
                    ProcessDeployment.post(callerAddress(0), "/v1/jobs", async);
            assertWithMessage(accepted.body()).that(accepted.statusCode()).isEqualTo(202);
            String path = accepted.headers().firstValue("Location").orElseThrow();

            sDeployment.await(
                    "the results of " + path,
                    () -> {
                        HttpResponse<String> state = ProcessDeployment.get(callerAddress(5), path);
                        return ProcessDeployment.parseJson(state).path("results").size() == 2;
                    });
        }
    }

    @Nested
    final class Requests {
        @Test
        void aHundredRequestsThroughAllEntryVmsEachGetTheirOwnAnswer() throws Exception {
            List<String> ids = new ArrayList<>();
            List<Future<HttpResponse<String>>> answers = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                String address = callerAddress(i);
                String id = RequestBodies.newId();
                String body = RequestBodies.request(id, "seat-" + i, i % 2 == 0, 20, 30_000);
                ids.add(id);
                answers.add(
                        sCallerPool.submit(
                                () ->
                                        ProcessDeployment.post(
                                                address, "/v1/services/catalogue/requests", body)));
            }
            for (int i = 0; i < answers.size(); i++) {
                HttpResponse<String> response = answers.get(i).get();
                assertWithMessage(response.body()).that(response.statusCode()).isEqualTo(200);
                assertThat(ProcessDeployment.parseJson(response).path("result").asText())
                        .isEqualTo("seat-" + i);
            }
            Map<String, Integer> starts = sDeployment.starts();
            for (String id : ids) {
                assertThat(starts).containsEntry(id + "/0", 1);
            }
        }
    }
}
