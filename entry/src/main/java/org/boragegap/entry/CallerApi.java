package org.boragegap.entry;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.logging.log4j.CloseableThreadContext;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragegap.core.dispatch.CallerRef;
import org.boragegap.core.dispatch.Event;
import org.boragegap.core.job.Answer;
import org.boragegap.core.job.SubmissionId;
import org.boragegap.http.IncomingRequest;
import org.boragegap.platform.PlatformJson;

/**
 * HTTP API for callers: submits jobs and requests to services, queries their state, cancels them.
 */
final class CallerApi {
    private static final Pattern SERVICE_PATH =
            Pattern.compile("/v1/services/([a-z0-9-]{1,64})/requests");
    private static final Pattern JOB_PATH = Pattern.compile("/v1/jobs/([^/]{1,200})");
    private static final Logger sLog = LogManager.getLogger(CallerApi.class);
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final long MS_PER_SECOND = 1_000;

    /**
     * A caller that waits for a reply.
     *
     * @param in its request
     * @param async whether it only waits for the submission to be accepted
     * @param service whether it is a request to a service, and not a job
     * @param team on whose behalf it was submitted
     */
    private record WaitingCaller(IncomingRequest in, boolean async, boolean service, String team) {}

    /** Body of the reply to a job that is complete, as JSON. */
    private record CompleteJob(String id, String outcome, List<String> results) {}

    /** Body of the reply to a request to a service that is complete, as JSON. */
    private record CompleteRequest(String id, String outcome, String result) {}

    private final JobBodyParser mParser;
    private final ControlLoop mLoop;
    private final JobStatusLookup mStatusLookup;
    private final Map<Long, WaitingCaller> mWaitingCallers = new ConcurrentHashMap<>();
    private final AtomicLong mNextToken = new AtomicLong(1);

    CallerApi(JobBodyParser parser, ControlLoop loop, JobStatusLookup statusLookup) {
        mParser = parser;
        mLoop = loop;
        mStatusLookup = statusLookup;
    }

    void handle(IncomingRequest in) {
        Matcher service = SERVICE_PATH.matcher(in.path());
        Matcher job = JOB_PATH.matcher(in.path());
        if (in.path().equals("/v1/jobs")) {
            submit(in, Optional.empty());
        } else if (service.matches()) {
            submit(in, Optional.of(service.group(1)));
        } else if (job.matches()) {
            handleJob(in, job.group(1));
        } else {
            replyProblem(in, Problem.ofStatus(NOT_FOUND, "Not found", "no such path"));
        }
    }

    private void submit(IncomingRequest in, Optional<String> service) {
        if (!in.method().equals("POST")) {
            replyProblem(
                    in, Problem.ofStatus(METHOD_NOT_ALLOWED, "Method not allowed", "use POST"));
            return;
        }
        JobBodyParser.ParsedJob parsedJob;
        try {
            Optional<String> key = in.header("Idempotency-Key");
            parsedJob = mParser.parse(in.text(), service, key, System.currentTimeMillis());
        } catch (JobBodyParser.InvalidBodyException e) {
            replyProblem(in, Problem.badRequest(e.getMessage()));
            return;
        }
        long token = mNextToken.getAndIncrement();
        mWaitingCallers.put(
                token,
                new WaitingCaller(
                        in, parsedJob.async(), service.isPresent(), parsedJob.submission().team()));
        CallerRef caller = new CallerRef.HttpCaller(token);
        mLoop.post(new Event.Submitted(caller, parsedJob.submission(), parsedJob.newId(), 0));
    }

    private void handleJob(IncomingRequest in, String idText) {
        SubmissionId.ParseResult parsed = SubmissionId.parse(idText, createdParameter(in));
        if (!(parsed instanceof SubmissionId.ParseResult.Valid valid)) {
            String reason = ((SubmissionId.ParseResult.Invalid) parsed).reason();
            replyProblem(in, Problem.badRequest("id: " + reason));
            return;
        }
        if (in.method().equals("DELETE")) {
            mLoop.post(new Event.Cancelled(valid.id(), 0));
            in.reply(ACCEPTED, "{\"state\":\"cancelling\"}");
        } else if (in.method().equals("GET")) {
            mStatusLookup.find(valid.id(), status -> replyStatus(in, valid.id(), status));
        } else {
            replyProblem(
                    in,
                    Problem.ofStatus(METHOD_NOT_ALLOWED, "Method not allowed", "GET or DELETE"));
        }
    }

    private static OptionalLong createdParameter(IncomingRequest in) {
        try {
            return in.query("created")
                    .map(Long::parseLong)
                    .map(OptionalLong::of)
                    .orElse(OptionalLong.empty());
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    private void replyStatus(IncomingRequest in, SubmissionId id, JobStatus status) {
        if (status.answer().isPresent()) {
            replyAnswer(in, false, id, status.answer().get());
        } else if (status.known()) {
            in.reply(OK, "{\"id\":\"" + id.text() + "\",\"state\":\"running\"}");
        } else {
            String detail = "no VM that could be reached knows this id";
            replyProblem(in, Problem.ofStatus(NOT_FOUND, "Not known", detail));
        }
    }

    /**
     * Called when a submission is accepted and will be answered; replies at once if it is
     * asynchronous.
     */
    void onAccepted(long token, SubmissionId id) {
        WaitingCaller waiting = mWaitingCallers.get(token);
        if (waiting == null || !waiting.async()) {
            return;
        }
        mWaitingCallers.remove(token);
        Map<String, String> headers = Map.of("Location", "/v1/jobs/" + id.text());
        String json = "{\"id\":\"" + id.text() + "\",\"state\":\"accepted\"}";
        waiting.in().reply(ACCEPTED, "application/json", headers, json);
    }

    /** Called with the one final answer; replies if a caller still waits for it. */
    void onAnswered(long token, SubmissionId id, Answer answer) {
        WaitingCaller waiting = mWaitingCallers.remove(token);
        if (waiting != null) {
            logFailure(waiting, id, answer);
            replyAnswer(waiting.in(), waiting.service(), id, answer);
        }
    }

    /**
     * Logs a failure. Failures after which no task has run are logged at DEBUG only, as there may
     * be very many of them under overload; the dispatcher counts them. All others get a line each
     * at INFO.
     */
    @SuppressWarnings("try")
    private static void logFailure(WaitingCaller waiting, SubmissionId id, Answer answer) {
        if (!(answer instanceof Answer.Failed failed)) {
            return;
        }
        Level level = failed.kind().nothingRan() ? Level.DEBUG : Level.INFO;
        if (!sLog.isEnabled(level)) {
            return;
        }
        try (CloseableThreadContext.Instance fields =
                CloseableThreadContext.put("job", id.text()).put("team", waiting.team())) {
            sLog.log(level, "{}: {}", failed.kind(), failed.reason());
        }
    }

    int waitingCallers() {
        return mWaitingCallers.size();
    }

    private static void replyAnswer(
            IncomingRequest in, boolean service, SubmissionId id, Answer answer) {
        if (answer instanceof Answer.Failed failed) {
            replyProblem(in, Problem.ofFailure(id.text(), failed));
            return;
        }
        List<String> results = ((Answer.Complete) answer).results();
        Object body =
                service
                        ? new CompleteRequest(id.text(), "complete", results.get(0))
                        : new CompleteJob(id.text(), "complete", results);
        in.reply(OK, PlatformJson.write(body));
    }

    static void replyProblem(IncomingRequest in, Problem problem) {
        Map<String, String> headers = Map.of();
        if (problem.retryAfterMs() != null) {
            long seconds = (problem.retryAfterMs() + MS_PER_SECOND - 1) / MS_PER_SECOND;
            headers = Map.of("Retry-After", Long.toString(seconds));
        }
        String json = PlatformJson.write(problem);
        in.reply(problem.status(), "application/problem+json", headers, json);
    }
}
