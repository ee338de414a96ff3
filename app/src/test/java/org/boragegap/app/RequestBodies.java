package org.boragegap.app;

import com.fasterxml.uuid.Generators;
import java.util.ArrayList;
import java.util.List;

/** Request bodies for tests. */
final class RequestBodies {
    private RequestBodies() {}

    /** A job whose task {@code i} answers {@code prefix/i} after {@code runMs}. */
    static String job(String id, String prefix, int tasks, long runMs, long timeoutMs) {
        List<String> list = new ArrayList<>();
        for (int i = 0; i < tasks; i++) {
            list.add(
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
                + String.join(",", list)
                + "]}";
    }

    /** A request to a service that answers {@code result} after {@code runMs}. */
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

    /** A new time-ordered id. */
    static String newId() {
        return Generators.timeBasedEpochGenerator().generate().toString();
    }

    /** A new id whose home is the given failure domain. */
    static String newId(int domain) {
        return ProcessDeployment.domainName(domain) + "~" + newId();
    }
}
