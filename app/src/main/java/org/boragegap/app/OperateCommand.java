package org.boragegap.app;

import java.net.http.HttpResponse;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Sends one request to an entry VM's operator port and prints the response. */
final class OperateCommand implements Command {
    private static final int FIRST_ERROR_STATUS = 300;

    private final String mName;
    private final String mPurpose;
    private final String mMethod;
    private final String mPath;

    OperateCommand(String name, String purpose, String method, String path) {
        mName = name;
        mPurpose = purpose;
        mMethod = method;
        mPath = path;
    }

    @Override
    public String name() {
        return mName;
    }

    @Override
    public String usage() {
        return "--operator HOST:PORT [--key-file FILE]: " + mPurpose;
    }

    @Override
    public Options options() {
        return operatorOptions();
    }

    static Options operatorOptions() {
        return new Options()
                .addOption(
                        Option.builder()
                                .longOpt("operator")
                                .hasArg()
                                .argName("HOST:PORT")
                                .required()
                                .desc("operator address of an entry VM")
                                .build())
                .addOption(
                        Option.builder()
                                .longOpt("key-file")
                                .hasArg()
                                .argName("FILE")
                                .desc("file with the operators' key")
                                .build());
    }

    @Override
    public ExitCode run(CommandLine line) throws Exception {
        HttpResponse<String> response = CliHttpClient.sendToOperator(line, mMethod, mPath, "");
        System.out.println(response.body());
        return response.statusCode() < FIRST_ERROR_STATUS ? ExitCode.OK : ExitCode.FAILED;
    }
}
