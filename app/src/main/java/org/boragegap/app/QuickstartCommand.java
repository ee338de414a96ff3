package org.boragegap.app;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;

/** Runs sample jobs on a small deployment in this one process. */
final class QuickstartCommand implements Command {
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
                .addOption(null, "json", false, "prints the summary as one JSON object")
                .addOption(null, "keep", false, "leaves the deployment up, to be tried with curl");
    }

    @Override
    public ExitCode run(CommandLine line) throws Exception {
        Configurator.setRootLevel(Level.WARN);
        EmbeddedDeployment deployment = EmbeddedDeployment.create(DeploymentShape.quickstart());
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
        return summary.good() ? ExitCode.OK : ExitCode.FAILED;
    }
}
