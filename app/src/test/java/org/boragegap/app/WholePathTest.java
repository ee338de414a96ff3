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

/** The whole path over loopback sockets: three failure domains with two entry VMs in each. */
final class WholePathTest {
    private static final int DOMAINS = 3;
    private static final int THREADS = 24;
    private static ProcessDeployment sDeployment;
    private static ExecutorService sCallers;

    @BeforeAll
    static void start() throws Exception {
        sDeployment = new ProcessDeployment(DOMAINS, 2, 2, "");
        sCallers = Executors.newFixedThreadPool(THREADS);
    }

    @AfterAll
    static void stop() throws Exception {
        sCallers.shutdownNow();
        sDeployment.stop();
    }

    private static String caller(int number) {
        List<ProcessDeployment.Entry> entries = sDeployment.entries();
        return entries.get(Math.floorMod(number, entries.size())).mCaller;
    }

    @Nested
    final class Jobs {
        @Test
        void aLargeJobIsAnsweredWholeAndEveryTaskStartsOnce() throws Exception {
            String id = Bodies.id();
            HttpResponse<String> response =
                    ProcessDeployment.post(
                            caller(1), "/v1/jobs", Bodies.job(id, "big", 360, 50, 30_000));

            assertWithMessage(response.body()).that(response.statusCode()).isEqualTo(200);
            JsonNode results = ProcessDeployment.json(response).path("results");
            assertThat(results.size()).isEqualTo(360);
            Map<String, Integer> starts = sDeployment.starts();
            for (int i = 0; i < results.size(); i++) {
                assertThat(results.get(i).asText()).isEqualTo("big/" + i);
                assertThat(starts).containsEntry(id + "/" + i, 1);
            }
        }

        /**
         * A client sends its job, hears nothing for a while and sends it again, to every entry VM
         * of every failure domain at once. Each copy gets the same whole answer, and no task is
         * started a second time: the copies meet at the one VM that holds the claim.
         */
        @Test
        void copiesSentEverywhereAreOneSubmission() throws Exception {
            String id = Bodies.id();
            String body = Bodies.job(id, "copied", 12, 200, 30_000);
            List<Future<HttpResponse<String>>> copies = new ArrayList<>();
            for (int i = 0; i < 2 * sDeployment.entries().size(); i++) {
                String address = caller(i);
                copies.add(
                        sCallers.submit(() -> ProcessDeployment.post(address, "/v1/jobs", body)));
            }
            for (Future<HttpResponse<String>> copy : copies) {
                HttpResponse<String> response = copy.get();
                assertWithMessage(response.body()).that(response.statusCode()).isEqualTo(200);
                assertThat(ProcessDeployment.json(response).path("results").size()).isEqualTo(12);
            }
            Map<String, Integer> starts = sDeployment.starts();
            for (int i = 0; i < 12; i++) {
                assertThat(starts).containsEntry(id + "/" + i, 1);
            }
        }

        @Test
        void theSameIdWithAnotherBodyIsAConflict() throws Exception {
            String id = Bodies.id();
            String first = Bodies.job(id, "first", 1, 10, 30_000);
            String second = Bodies.job(id, "second", 1, 10, 30_000);
            assertThat(ProcessDeployment.post(caller(0), "/v1/jobs", first).statusCode())
                    .isEqualTo(200);
            HttpResponse<String> response = ProcessDeployment.post(caller(3), "/v1/jobs", second);

            assertWithMessage(response.body()).that(response.statusCode()).isEqualTo(409);
            assertThat(sDeployment.starts()).containsEntry(id + "/0", 1);
        }

        @Test
        void anAsynchronousJobIsFoundThroughAnyEntryVm() throws Exception {
            String body = Bodies.job("x", "later", 2, 50, 30_000);
            String async = body.replace("\"id\":\"x\",", "\"async\":true,");
            HttpResponse<String> accepted = ProcessDeployment.post(caller(0), "/v1/jobs", async);
            assertWithMessage(accepted.body()).that(accepted.statusCode()).isEqualTo(202);
            String path = accepted.headers().firstValue("Location").orElseThrow();

            sDeployment.await(
                    "answer of " + path,
                    () -> {
                        HttpResponse<String> state = ProcessDeployment.get(caller(5), path);
                        return ProcessDeployment.json(state).path("results").size() == 2;
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
                String address = caller(i);
                String id = Bodies.id();
                String body = Bodies.request(id, "seat-" + i, i % 2 == 0, 20, 30_000);
                ids.add(id);
                answers.add(
                        sCallers.submit(
                                () ->
                                        ProcessDeployment.post(
                                                address, "/v1/services/catalogue/requests", body)));
            }
            for (int i = 0; i < answers.size(); i++) {
                HttpResponse<String> response = answers.get(i).get();
                assertWithMessage(response.body()).that(response.statusCode()).isEqualTo(200);
                assertThat(ProcessDeployment.json(response).path("result").asText())
                        .isEqualTo("seat-" + i);
            }
            Map<String, Integer> starts = sDeployment.starts();
            for (String id : ids) {
                assertThat(starts).containsEntry(id + "/0", 1);
            }
        }
    }
}
