package org.boragegap.app;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.apache.commons.cli.CommandLine;

/** Sends the HTTP requests of the command line. */
final class CliHttpClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(620);

    private CliHttpClient() {}

    static HttpResponse<String> sendToOperator(
            CommandLine line, String method, String path, String body)
            throws IOException, InterruptedException {
        String key = "";
        if (line.hasOption("key-file")) {
            key = Files.readString(Path.of(line.getOptionValue("key-file"))).trim();
        }
        return send(line.getOptionValue("operator"), method, path, body, key);
    }

    static HttpResponse<String> send(
            String address, String method, String path, String body, String key)
            throws IOException, InterruptedException {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(ANSWER_TIMEOUT)
                        .header("Content-Type", "application/json")
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (!key.isEmpty()) {
            request.header("Authorization", "Bearer " + key);
        }
        HttpClient client =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(CONNECT_TIMEOUT)
                        .build();
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }
}
