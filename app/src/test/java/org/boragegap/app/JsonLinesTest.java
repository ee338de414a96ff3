package org.boragegap.app;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.impl.Log4jLogEvent;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.SimpleMessage;
import org.apache.logging.log4j.message.StringMapMessage;
import org.junit.jupiter.api.Test;

/** Checks the JSON format of log lines, which programs read. */
final class JsonLinesTest {
    private final JsonLines mLayout = new JsonLines();

    private JsonNode parsedLine(Message message, Throwable thrown, long timeMs) throws Exception {
        Log4jLogEvent event =
                Log4jLogEvent.newBuilder()
                        .setLoggerName("decision")
                        .setLevel(Level.INFO)
                        .setThreadName("control")
                        .setMessage(message)
                        .setThrown(thrown)
                        .setTimeMillis(timeMs)
                        .build();
        String json = mLayout.toSerializable(event);
        assertThat(json).endsWith("\n");
        assertThat(json.trim()).doesNotContain("\n");
        return new ObjectMapper().readTree(json);
    }

    @Test
    void decisionIsWrittenWithItsFields() throws Exception {
        mLayout.setProcessFields(Map.of("vm", "10.1.0.13:7720"));
        StringMapMessage message = new StringMapMessage();
        message.put("what", "refuse");
        message.put("inputs", "reason=\"none\"\n");
        JsonNode line = parsedLine(message, null, 0);
        assertThat(line.path("message").path("what").asText()).isEqualTo("refuse");
        assertThat(line.path("message").path("inputs").asText()).isEqualTo("reason=\"none\"\n");
        assertThat(line.path("vm").asText()).isEqualTo("10.1.0.13:7720");
        assertThat(line.path("level").asText()).isEqualTo("INFO");
    }

    @Test
    void textMessageIsWrittenAsText() throws Exception {
        JsonNode line = parsedLine(new SimpleMessage("draining"), null, 0);
        assertThat(line.path("message").path("text").asText()).isEqualTo("draining");
        assertThat(line.has("exception")).isFalse();
    }

    @Test
    void exceptionIsWrittenAsStackTrace() throws Exception {
        JsonNode line = parsedLine(new SimpleMessage("bad"), new IllegalStateException("why"), 0);
        assertThat(line.path("exception").asText()).contains("IllegalStateException: why");
    }

    @Test
    void timesAreInUtcWithMilliseconds() throws Exception {
        assertThat(parsedLine(new SimpleMessage(""), null, 1).path("time").asText())
                .isEqualTo("1970-01-01T00:00:00.001Z");
        assertThat(
                        parsedLine(new SimpleMessage(""), null, 1_796_280_003_007L)
                                .path("time")
                                .asText())
                .isEqualTo("2026-12-03T06:40:03.007Z");
    }
}
