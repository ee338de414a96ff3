package org.boragegap.entry;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.apache.commons.codec.digest.MurmurHash3;
import org.boragegap.core.job.Resources;
import org.boragegap.core.job.Submission;
import org.boragegap.core.job.SubmissionId;
import org.boragegap.core.job.TaskSpec;

/** Parses a request body into a submission, or reports in one line what is wrong with it. */
final class JobBodyParser {
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    private static final int MAX_NESTING = 16;
    private static final long DEFAULT_TIMEOUT_MS = 30_000;
    private static final long MAX_TIMEOUT_MS = 600_000;
    private static final int MAX_CPU_MILLIS = 10_000_000;
    private static final int MAX_ACCELERATORS = 1_000;
    private static final long DEFAULT_EXPECTED_MS = 100;

    /**
     * The result of parsing a valid body.
     *
     * @param submission the submission
     * @param newId whether its id was generated here
     * @param async whether the caller wants 202 (Accepted) at once instead of waiting for the
     *     answer
     */
    record ParsedJob(Submission submission, boolean newId, boolean async) {}

    /** A body that is not valid; the message is one line for the caller. */
    static final class InvalidBodyException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidBodyException(String message) {
            super(message);
        }
    }

    private final ObjectMapper mMapper;
    private final long mMaxTasks;
    private final Supplier<SubmissionId> mIdGenerator;

    JobBodyParser(long maxTasks, Supplier<SubmissionId> idGenerator) {
        JsonFactory factory =
                JsonFactory.builder()
                        .streamReadConstraints(
                                StreamReadConstraints.builder()
                                        .maxNestingDepth(MAX_NESTING)
                                        .build())
                        .build();
        factory.enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);
        mMapper = new ObjectMapper(factory);
        mMapper.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        mMapper.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
        mMaxTasks = maxTasks;
        mIdGenerator = idGenerator;
    }

    /**
     * Parses a job, or a request to a service if one is named.
     *
     * @param text the body
     * @param service name of the service, if any
     * @param key the caller's idempotency key; takes precedence over the id in the body
     * @param wallMs wall-clock time, from which the deadline is counted
     * @throws InvalidBodyException if the body is not valid
     */
    ParsedJob parse(String text, Optional<String> service, Optional<String> key, long wallMs)
            throws InvalidBodyException {
        JobBody body = readJson(text);
        require(
                body.team() != null && NAME_PATTERN.matcher(body.team()).matches(),
                "team",
                "a name");
        require(
                body.kind() != null && NAME_PATTERN.matcher(body.kind()).matches(),
                "kind",
                "a name");
        long timeoutMs = body.timeoutMs() == null ? DEFAULT_TIMEOUT_MS : body.timeoutMs();
        require(
                timeoutMs >= 1 && timeoutMs <= MAX_TIMEOUT_MS,
                "timeoutMs",
                "1 to " + MAX_TIMEOUT_MS);
        List<TaskSpec> tasks = service.isPresent() ? serviceTask(body) : jobTasks(body);
        Optional<String> givenId = key.isPresent() ? key : Optional.ofNullable(body.id());
        SubmissionId id = givenId.isPresent() ? parseId(givenId.get(), body) : mIdGenerator.get();
        String identity = body.team() + '|' + body.kind() + '|' + service + '|' + tasks;
        byte[] bytes = (identity + '|' + body.idempotent()).getBytes(StandardCharsets.UTF_8);
        long fingerprint = MurmurHash3.hash128x64(bytes)[0];
        Submission submission =
                new Submission(
                        id,
                        body.team(),
                        body.kind(),
                        service,
                        body.idempotent(),
                        wallMs + timeoutMs,
                        tasks,
                        fingerprint);
        return new ParsedJob(submission, givenId.isEmpty(), body.async());
    }

    private JobBody readJson(String text) throws InvalidBodyException {
        try {
            JobBody body = mMapper.readValue(text, JobBody.class);
            require(body != null, "body", "a JSON object");
            return body;
        } catch (JsonProcessingException e) {
            throw new InvalidBodyException("body: " + e.getOriginalMessage());
        }
    }

    private static void require(boolean valid, String field, String expected)
            throws InvalidBodyException {
        if (!valid) {
            throw new InvalidBodyException(field + ": expected " + expected);
        }
    }

    private static SubmissionId parseId(String text, JobBody body) throws InvalidBodyException {
        OptionalLong created =
                body.created() == null ? OptionalLong.empty() : OptionalLong.of(body.created());
        SubmissionId.ParseResult parsed = SubmissionId.parse(text, created);
        if (parsed instanceof SubmissionId.ParseResult.Invalid invalid) {
            throw new InvalidBodyException("id: " + invalid.reason());
        }
        return ((SubmissionId.ParseResult.Valid) parsed).id();
    }

    private static List<TaskSpec> serviceTask(JobBody body) throws InvalidBodyException {
        require(body.payload() != null, "payload", "text");
        require(body.tasks() == null, "tasks", "nothing, in a request to a service");
        return List.of(new TaskSpec(0, Resources.NONE, DEFAULT_EXPECTED_MS, body.payload()));
    }

    private List<TaskSpec> jobTasks(JobBody body) throws InvalidBodyException {
        int count = body.tasks() == null ? 0 : body.tasks().size();
        require(count >= 1 && count <= mMaxTasks, "tasks", "1 to " + mMaxTasks + " tasks");
        require(body.payload() == null, "payload", "nothing, in a job; its tasks have theirs");
        List<TaskSpec> tasks = new ArrayList<>(count);
        for (JobBody.TaskBody task : body.tasks()) {
            tasks.add(toTaskSpec(tasks.size(), task));
        }
        return List.copyOf(tasks);
    }

    private static TaskSpec toTaskSpec(int index, JobBody.TaskBody task)
            throws InvalidBodyException {
        String name = "tasks[" + index + "]";
        require(task != null && task.payload() != null, name + ".payload", "text");
        require(
                task.cpuMillis() >= 0 && task.cpuMillis() <= MAX_CPU_MILLIS,
                name + ".cpuMillis",
                "0 to " + MAX_CPU_MILLIS);
        require(task.memoryMb() >= 0, name + ".memoryMb", "0 or more");
        require(
                task.accelerators() >= 0 && task.accelerators() <= MAX_ACCELERATORS,
                name + ".accelerators",
                "0 to " + MAX_ACCELERATORS);
        require(
                task.expectedMs() >= 0 && task.expectedMs() <= MAX_TIMEOUT_MS,
                name + ".expectedMs",
                "0 to " + MAX_TIMEOUT_MS);
        Resources need = new Resources(task.cpuMillis(), task.memoryMb(), task.accelerators());
        long expectedMs = task.expectedMs() == 0 ? DEFAULT_EXPECTED_MS : task.expectedMs();
        return new TaskSpec(index, need, expectedMs, task.payload());
    }
}
