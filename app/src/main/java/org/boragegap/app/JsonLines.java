package org.boragegap.app;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.Map;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.layout.AbstractStringLayout;
import org.apache.logging.log4j.message.MapMessage;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.util.ReadOnlyStringMap;

/**
 * Formats each log event as one line of JSON: {@code time} in UTC, {@code level}, {@code logger},
 * {@code thread}, {@code message} with the fields of a decision or with a {@code text}, the fields
 * of the process, and {@code context} and {@code exception} if the event has them.
 */
final class JsonLines extends AbstractStringLayout {
    private static final JsonFactory sJsonFactory = new JsonFactory();
    private static final long MS_PER_S = 1_000;
    private static final int NANOS_PER_MS = 1_000_000;
    private static final int TIME_LENGTH = 24;

    private volatile Map<String, String> mProcessFields = Map.of();

    JsonLines() {
        super(StandardCharsets.UTF_8);
    }

    /** Sets the process fields that are written in each line from now on. */
    void setProcessFields(Map<String, String> processFields) {
        mProcessFields = processFields;
    }

    @Override
    public String toSerializable(LogEvent event) {
        StringWriter line = new StringWriter();
        try (JsonGenerator json = sJsonFactory.createGenerator(line)) {
            json.writeStartObject();
            writeEvent(event, json);
            json.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("writing to a string failed", e);
        }
        return line.append('\n').toString();
    }

    private void writeEvent(LogEvent event, JsonGenerator json) throws IOException {
        json.writeStringField("time", formatTime(event.getTimeMillis()));
        json.writeStringField("level", event.getLevel().name());
        json.writeStringField("logger", event.getLoggerName());
        json.writeStringField("thread", event.getThreadName());
        writeMessage(event.getMessage(), json);
        for (Map.Entry<String, String> field : mProcessFields.entrySet()) {
            json.writeStringField(field.getKey(), field.getValue());
        }
        writeContext(event.getContextData(), json);
        if (event.getThrown() != null) {
            json.writeStringField("exception", stackTrace(event.getThrown()));
        }
    }

    /** Formats a time by hand, since a formatter loads locale data at every start. */
    private static String formatTime(long ms) {
        LocalDateTime at =
                LocalDateTime.ofEpochSecond(
                        Math.floorDiv(ms, MS_PER_S),
                        (int) Math.floorMod(ms, MS_PER_S) * NANOS_PER_MS,
                        ZoneOffset.UTC);
        StringBuilder text = new StringBuilder(TIME_LENGTH);
        appendPadded(text, at.getYear(), 4).append('-');
        appendPadded(text, at.getMonthValue(), 2).append('-');
        appendPadded(text, at.getDayOfMonth(), 2).append('T');
        appendPadded(text, at.getHour(), 2).append(':');
        appendPadded(text, at.getMinute(), 2).append(':');
        appendPadded(text, at.getSecond(), 2).append('.');
        return appendPadded(text, at.getNano() / NANOS_PER_MS, 3).append('Z').toString();
    }

    private static StringBuilder appendPadded(StringBuilder text, int number, int digits) {
        String decimal = Integer.toString(number);
        for (int i = decimal.length(); i < digits; i++) {
            text.append('0');
        }
        return text.append(decimal);
    }

    private static void writeMessage(Message message, JsonGenerator json) throws IOException {
        json.writeObjectFieldStart("message");
        if (message instanceof MapMessage<?, ?> fields) {
            for (Map.Entry<String, ?> field : fields.getData().entrySet()) {
                json.writeStringField(field.getKey(), String.valueOf(field.getValue()));
            }
        } else {
            json.writeStringField("text", message.getFormattedMessage());
        }
        json.writeEndObject();
    }

    private static void writeContext(ReadOnlyStringMap context, JsonGenerator json)
            throws IOException {
        if (context.isEmpty()) {
            return;
        }
        json.writeObjectFieldStart("context");
        for (Map.Entry<String, String> field : context.toMap().entrySet()) {
            json.writeStringField(field.getKey(), field.getValue());
        }
        json.writeEndObject();
    }

    private static String stackTrace(Throwable thrown) {
        StringWriter text = new StringWriter();
        thrown.printStackTrace(new PrintWriter(text));
        return text.toString();
    }
}
