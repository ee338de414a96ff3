package org.boragegap.app;

import com.fasterxml.uuid.Generators;
import java.util.ArrayList;
import java.util.List;

/** Builds the bodies of jobs and service requests for the end-to-end tests. */
final class RequestBodies {
    private RequestBodies() {}

    /** A job whose task number {@code i} returns {@code prefix/i} after {@code runMs}. */
    static String job(String id, String prefix, int tasks, long runMs, long timeoutMs) {
        List<String> taskList = new ArrayList<>();
        for (int i = 0; i < tasks; i++) {
            taskList.add(
                    "{\"cpuMillis\":200,\"memoryMb\":16,\"expectedMs\":"
                            + runMs
                            + ",\"payload\":"
                            + payload(prefix + "/" + i, runMs)
                            + "}");
        }
        return "{\"id\":\""
                + id
                + "\",\"team\":\"registrar\",\"kind\":\"audit\",\"timeoutMs\":"
                + timeoutMs
                + ",\"tasks\":["
                + String.join(",", taskList)
                + "]}";
    }

    /** A request whose task returns {@code result} after {@code runMs}. */
    static String request(
            String id, String result, boolean idempotent, long runMs, long timeoutMs) {
        return "{\"id\":\""
                + id
                + "\",\"team\":\"students\",\"kind\":\"seat-check\",\"idempotent\":"
                + idempotent
                + ",\"timeoutMs\":"
                + timeoutMs
                + ",\"payload\":"
                + payload(result, runMs)
                + "}";
    }

    private static String payload(String result, long runMs) {
        return "\"{\\\"runMs\\\":" + runMs + ",\\\"result\\\":\\\"" + result + "\\\"}\"";
    }

    /** A new submission id: a time-ordered UUID (version 7). */
    static String newId() {
        return Generators.timeBasedEpochGenerator().generate().toString();
    }

    /** A new submission id whose home is the given failure domain. */
    static String newId(int domain) {
        return ProcessDeployment.domainName(domain) + "~" + newId();
    }
}
