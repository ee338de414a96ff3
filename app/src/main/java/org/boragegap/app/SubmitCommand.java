package org.boragegap.app;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Submits a job, or a request to a service, and prints the answer. */
final class SubmitCommand implements Command {
    private static final int OK = 200;
    private static final int ACCEPTED = 202;

    @Override
    public String name() {
        return "submit";
    }

    @Override
    public String usage() {
        return "--to HOST:PORT [--service NAME] FILE|-: submits a job and prints its answer";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(
                        Option.builder()
                                .longOpt("to")
                                .hasArg()
                                .argName("HOST:PORT")
                                .required()
                                .desc("caller address of an entry VM")
                                .build())
                .addOption(
                        Option.builder()
                                .longOpt("service")
                                .hasArg()
                                .argName("NAME")
                                .desc("sends one request to a minion of this service")
                                .build());
    }

    @Override
    public ExitCode run(CommandLine line) throws Exception {
        if (line.getArgList().size() != 1) {
            throw new UsageException("expected one FILE, or - for standard input");
        }
        String file = line.getArgList().get(0);
        String body =
                file.equals("-")
                        ? new String(System.in.readAllBytes(), StandardCharsets.UTF_8)
                        : Files.readString(Path.of(file));
        String path =
                line.hasOption("service")
                        ? "/v1/services/" + line.getOptionValue("service") + "/requests"
                        : "/v1/jobs";
        HttpResponse<String> response =
                CliHttpClient.send(line.getOptionValue("to"), "POST", path, body, "");
        System.out.println(response.body());
        return exitCode(response);
    }

    private static ExitCode exitCode(HttpResponse<String> response) throws Exception {
        if (response.statusCode() == OK || response.statusCode() == ACCEPTED) {
            return ExitCode.OK;
        }
        JsonNode problem = new ObjectMapper().readTree(response.body());
        return switch (problem.path("outcome").asText()) {
            case "not_run" -> ExitCode.NOT_RUN;
            case "may_have_run" -> ExitCode.UNKNOWN;
            default -> ExitCode.FAILED;
        };
    }
}
