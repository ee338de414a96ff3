package org.boragegap.app;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.boragegap.core.cell.CellLayout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Kills, stops and restarts the controllers of a cell in series while callers submit jobs and the
 * store uses the freedoms that its protocol gives it. The targets and the callers judge the run.
 * The seed decides the faults and the jobs, but not the timing of the processes.
 */
final class ControllerChangeSoakTest {
    /**
     * Directory that receives the logs of all seeds; if empty, only those of a failure are kept.
     */
    private static final String LOGS = System.getProperty("boragegap.soak.logs", "");

    private static final int ENTRY_VMS = 6;
    private static final long FAULTS_MS = 12_000;
    private static final long LAST_RUN_MS = 1_500;
    private static final long LEASE_MS = 1_000;

    /** Lease of a layout with weak VMs, in ms. */
    private static final long LONG_LEASE_MS = 3_000;

    /** One in this many seeds uses the longer lease. */
    private static final int LONG_LEASE_ONE_IN = 4;

    /** Seeds with which tasks ran twice, or a range that the command line gives. */
    static LongStream seeds() {
        Long count = Long.getLong("boragegap.soak.seeds");
        if (count == null) {
            return LongStream.of(2, 3, 9, 10);
        }
        long first = Long.getLong("boragegap.soak.first", 1);
        return LongStream.range(first, first + count);
    }

    /** Guards against a controller that starts a task whose run of an earlier term goes on. */
    @ParameterizedTest
    @MethodSource("seeds")
    void noTaskRunsTwiceAtTheSameTime(long seed) throws Exception {
        Path directory = directory(seed);
        long leaseMs = seed % LONG_LEASE_ONE_IN == 0 ? LONG_LEASE_MS : LEASE_MS;
        SplittableRandom random = new SplittableRandom(seed);
        CellProcesses processes =
                CellProcesses.create(directory, ENTRY_VMS, new CellLayout(1, leaseMs));
        SoakCallers callers = SoakCallers.create(processes.entryVms(), random.split());
        FaultSeries faults = FaultSeries.create(processes, random.split());
        try {
            processes.start();
            processes.store().unassignMembersOnChange(random.split());
            callers.start();
            faults.start(FAULTS_MS);
            TimeUnit.MILLISECONDS.sleep(FAULTS_MS);
            faults.stop();
            callers.stop();
            TimeUnit.MILLISECONDS.sleep(LAST_RUN_MS);
        } finally {
            faults.stop();
            processes.stop();
            callers.stop();
        }
        check(seed, directory, SoakFindings.of(callers.jobs(), processes.pastRuns()));
        if (LOGS.isEmpty()) {
            delete(directory);
        }
    }

    private static void delete(Path directory) throws IOException {
        try (var files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(directory);
    }

    private static void check(long seed, Path directory, SoakFindings findings) throws Exception {
        String run = "seed " + seed + ", logs in " + directory;
        System.out.println(run + ": " + findings.summary());
        Files.write(directory.resolve("findings.txt"), findings.lines());
        assertWithMessage("%s: tasks with two runs at the same time", run)
                .that(findings.overlappingRuns())
                .isEmpty();
        assertWithMessage("%s: refused jobs that have run", run)
                .that(findings.refusedThatRan())
                .isEmpty();
        assertWithMessage("%s: completed jobs without a run that is done", run)
                .that(findings.completedButNotDone())
                .isEmpty();
        assertWithMessage("%s: completed jobs", run).that(findings.completed()).isGreaterThan(0);
    }

    private static Path directory(long seed) throws Exception {
        Path directory =
                LOGS.isEmpty()
                        ? Files.createTempDirectory("boragegap-soak")
                        : Path.of(LOGS, "seed-" + seed + "-" + System.currentTimeMillis());
        return Files.createDirectories(directory);
    }
}
