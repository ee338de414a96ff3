package org.boragegap.entry;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Locale;
import org.boragegap.core.job.Answer;
import org.boragegap.core.job.FailureKind;

/**
 * Body of an error reply: problem details as defined in RFC 9457.
 *
 * @param type URI that identifies the kind of problem
 * @param title short description of the kind of problem
 * @param status HTTP status
 * @param detail what is wrong in this case
 * @param id id of the submission; absent if there is none
 * @param outcome {@code not_run}, {@code may_have_run}, {@code failed} or {@code cancelled}; absent
 *     if the problem is no more than its HTTP status
 * @param retryAfterMs after how many milliseconds to retry; absent if a retry is of no use
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record Problem(
        String type,
        String title,
        int status,
        String detail,
        String id,
        String outcome,
        Long retryAfterMs) {
    private static final int BAD_REQUEST = 400;

    static Problem ofFailure(String id, Answer.Failed failed) {
        FailureKind kind = failed.kind();
        Long retryAfterMs = failed.retryAfterMs() == 0 ? null : failed.retryAfterMs();
        return new Problem(
                "urn:boragegap:" + kind.name().toLowerCase(Locale.ROOT).replace('_', '-'),
                title(kind),
                status(kind),
                failed.reason(),
                id,
                outcome(kind),
                retryAfterMs);
    }

    static Problem badRequest(String detail) {
        return new Problem(
                "urn:boragegap:bad-request",
                "Bad request",
                BAD_REQUEST,
                detail,
                null,
                "not_run",
                null);
    }

    static Problem ofStatus(int status, String title, String detail) {
        return new Problem("about:blank", title, status, detail, null, null, null);
    }

    private static String title(FailureKind kind) {
        return switch (kind) {
            case NOT_RUN -> "Refused, not run";
            case MAY_HAVE_RUN -> "Outcome unknown";
            case FAILED -> "Failed";
            case IMPOSSIBLE -> "Can never run";
            case CONFLICT -> "Id used with another body";
            case CANCELLED -> "Cancelled";
            default -> kind.name();
        };
    }

    private static int status(FailureKind kind) {
        return switch (kind) {
            case NOT_RUN -> 503;
            case MAY_HAVE_RUN -> 504;
            case FAILED -> 502;
            case IMPOSSIBLE -> 422;
            case CONFLICT -> 409;
            case CANCELLED -> 410;
            default -> 500;
        };
    }

    private static String outcome(FailureKind kind) {
        return switch (kind) {
            case NOT_RUN, IMPOSSIBLE, CONFLICT -> "not_run";
            case MAY_HAVE_RUN -> "may_have_run";
            case CANCELLED -> "cancelled";
            default -> "failed";
        };
    }
}
