package org.boragegap.app;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;

/** Runs sample jobs on a small deployment within this process. */
final class QuickstartCommand implements Command {
    /** Sample jobs on the users' platform; enough to send every kind of message. */
    private static final int PLATFORM_JOBS = 40;

    @Override
    public String name() {
        return "quickstart";
    }

    @Override
    public String usage() {
        return "[--json] [--keep]: runs sample jobs on embedded stand-ins, in one process";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(null, "platform", false, "shows the path of the users' platform")
                .addOption(null, "json", false, "prints the summary as one JSON object")
                .addOption(null, "keep", false, "leaves the deployment up, to be tried with curl");
    }

    @Override
    public ExitCode run(CommandLine line) throws Exception {
        Configurator.setRootLevel(Level.WARN);
        if (line.hasOption("platform")) {
            return runOnPlatform();
        }
        EmbeddedDeployment deployment = EmbeddedDeployment.create(DeploymentSpec.quickstart());
        deployment.start();
        SampleRun run = new SampleRun(deployment, !line.hasOption("json"));
        SampleRun.Summary summary = run.run();
        if (line.hasOption("json")) {
            System.out.println(new ObjectMapper().writeValueAsString(summary));
        } else {
            System.out.print(summary.text());
        }
        if (line.hasOption("keep")) {
            System.out.println("callers: " + String.join(" ", deployment.callerAddresses()));
            System.out.println("operators: " + String.join(" ", deployment.operatorAddresses()));
            System.out.println("try: " + deployment.sampleCurl());
            System.out.flush();
            new CountDownLatch(1).await();
        }
        deployment.stop();
        return summary.passed() ? ExitCode.OK : ExitCode.FAILED;
    }

    /** Runs sample jobs on stand-ins of the platform's store and targets. */
    private static ExitCode runOnPlatform() throws Exception {
        EmbeddedCell cell = EmbeddedCell.create();
        cell.start();
        int completed = cell.submitJobs(PLATFORM_JOBS);
        cell.stop();
        System.out.println(completed + " of " + PLATFORM_JOBS + " jobs completed");
        return completed == PLATFORM_JOBS ? ExitCode.OK : ExitCode.FAILED;
    }
}
