package org.boragegap.app;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.boragegap.core.cell.CellLayout;
import org.boragegap.platform.Topics;
import org.boragegap.standin.CellTargetStandin;
import org.boragegap.standin.LoopbackPorts;
import org.boragegap.standin.SampleCalls;
import org.boragegap.standin.StoreStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reads what entry processes log until they have drained after SIGTERM. */
final class ProcessLogTest {
    private static final String HOST = "127.0.0.1";
    private static final long AWAIT_TIMEOUT_MS = 30_000;
    private static final long POLL_INTERVAL_MS = 20;
    private static final ObjectMapper sMapper = new ObjectMapper();

    @TempDir Path mDirectory;

    private Process launch(String ini) throws IOException {
        Path settings = Files.writeString(mDirectory.resolve("entry.ini"), ini);
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx96m",
                        "-XX:TieredStopAtLevel=1",
                        "-XX:+UseSerialGC",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "org.boragegap.app.Main",
                        "serve",
                        "-c",
                        settings.toString())
                .redirectOutput(mDirectory.resolve("out.log").toFile())
                .redirectError(mDirectory.resolve("err.log").toFile())
                .start();
    }

    private List<String> loggedTexts() throws IOException {
        return texts(Files.readAllLines(mDirectory.resolve("out.log")));
    }

    private static List<String> texts(List<String> lines) throws IOException {
        return messages(lines).stream().map(message -> message.path("text").asText()).toList();
    }

    /** The messages of all complete lines; the last line may be only half written. */
    private static List<JsonNode> messages(List<String> lines) throws IOException {
        List<JsonNode> messages = new ArrayList<>();
        for (String line : lines) {
            if (line.startsWith("{") && line.endsWith("}")) {
                messages.add(sMapper.readTree(line).path("message"));
            }
        }
        return messages;
    }

    private void await(String description, Callable<Boolean> condition) throws Exception {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_TIMEOUT_MS);
        while (System.nanoTime() < deadlineNs) {
            if (condition.call()) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
        throw new AssertionError("timed out: " + description + ", log: " + loggedTexts());
    }

    private static boolean isReady(String address) throws Exception {
        try {
            return ProcessDeployment.get(address, "/ready").statusCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private static void awaitExitAfterSigterm(Process process) throws Exception {
        // Process.destroy would close the pipe that the lines are read from.
        process.toHandle().destroy();
        assertThat(process.waitFor(AWAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
        assertThat(process.exitValue()).isEqualTo(0);
    }

    @Nested
    final class MemberOfCell {
        private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(2);
        private final String mReadyAddress = HOST + ":" + LoopbackPorts.next();
        private StoreStandin mStore;
        private CellTargetStandin mTarget;
        private Process mProcess;

        MemberOfCell() throws IOException {}

        @BeforeEach
        void start() throws Exception {
            int storePort = LoopbackPorts.next();
            mStore = StoreStandin.create(HOST, storePort, mTimer);
            mStore.start();
            SampleCalls.putConfiguration(mStore, 1, "/jobs/");
            mStore.put(Topics.LAYOUT, Topics.CELLS_KEY, CellLayout.ofCells(1).text());
            mTarget =
                    CellTargetStandin.create(
                            "t0", HOST, LoopbackPorts.next(), SampleCalls.SERVICE, mStore, mTimer);
            mTarget.start();
            mProcess = launch(settings(HOST + ":" + storePort));
            await("ready", () -> isReady(mReadyAddress));
        }

        @AfterEach
        void stop() throws Exception {
            if (mProcess != null) {
                mProcess.destroyForcibly().waitFor();
            }
            mTarget.stop();
            mStore.stop();
            mTimer.shutdownNow();
        }

        private String settings(String store) throws IOException {
            return String.join(
                    "\n",
                    "[vm]",
                    "failure_domain = a",
                    "peer_address = " + HOST + ":" + LoopbackPorts.next(),
                    "caller_address = " + HOST + ":" + LoopbackPorts.next(),
                    "operator_address = " + HOST + ":" + LoopbackPorts.next(),
                    "ready_address = " + mReadyAddress,
                    "[deployment]",
                    "failure_domains = a",
                    "[platform]",
                    "log = " + store,
                    "vm_list = " + store,
                    "store = " + store);
        }

        private List<JsonNode> controlLines() throws IOException {
            List<JsonNode> lines = new ArrayList<>();
            for (JsonNode message : messages(Files.readAllLines(mDirectory.resolve("out.log")))) {
                if (message.path("what").asText().equals("control")) {
                    lines.add(message);
                }
            }
            return lines;
        }

        /** Guards against controllers of one cell that look like controllers of two cells. */
        @Test
        void decisionOfControllerNamesItsCell() throws Exception {
            await("a controller", () -> !controlLines().isEmpty());

            assertThat(controlLines().get(0).path("cell").asText()).isEqualTo("0");
        }

        /** Guards against a log that ends when the signal comes, before the VM has drained. */
        @Test
        void allLinesOfDrainAreWrittenInOrder() throws Exception {
            awaitExitAfterSigterm(mProcess);

            List<String> texts = loggedTexts();
            assertWithMessage("lines after the signal")
                    .that(texts.subList(Math.max(0, texts.indexOf("draining")), texts.size()))
                    .containsAtLeast(
                            "draining",
                            "draining: accepts no more callers",
                            "drained: all callers are answered")
                    .inOrder();
        }
    }

    @Nested
    final class MemberOfDomain {
        private ProcessDeployment mDeployment;

        @BeforeEach
        void start() throws Exception {
            mDeployment = new ProcessDeployment(1, 1, 1, new BundleSigners().settings());
        }

        @AfterEach
        void stop() throws Exception {
            mDeployment.stop();
        }

        /** Guards against a drain whose result is not logged. */
        @Test
        void resultOfDrainIsWritten() throws Exception {
            Process process = mDeployment.entryProcesses().get(0).mProcess;

            awaitExitAfterSigterm(process);

            List<String> texts = texts(process.inputReader().lines().toList());
            assertWithMessage("lines with a result: %s", texts)
                    .that(texts.stream().filter(text -> text.startsWith("drained: ")).toList())
                    .isNotEmpty();
        }
    }
}
