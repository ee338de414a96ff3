package org.boragegap.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.UUID;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;
import org.boragegap.core.job.SubmissionId;
import org.junit.jupiter.api.Test;

/**
 * Any body that a caller sends is either parsed into a submission or rejected with a one-line
 * error.
 */
final class JobBodyParserProperties {
    private static final String VALID_BODY =
            "{\"team\":\"t\",\"kind\":\"k\",\"tasks\":[{\"cpuMillis\":1,\"payload\":\"p\"}]}";
    private static final UUID NEW_ID = UUID.fromString("01a23802-8786-7626-9936-5e40b504384d");

    private final JobBodyParser mParser =
            new JobBodyParser(3, () -> SubmissionId.mint("fd", "127.0.0.1:1", NEW_ID));

    private String errorOf(String body) {
        try {
            mParser.parse(body, Optional.empty(), Optional.empty(), 0);
            return "";
        } catch (JobBodyParser.InvalidBodyException e) {
            return e.getMessage();
        }
    }

    @Property(tries = 2_000, seed = "11")
    void anyTextIsASubmissionOrAOneLineError(@ForAll @StringLength(max = 300) String text) {
        assertThat(errorOf(text)).doesNotContain("\n");
    }

    @Property(tries = 2_000, seed = "12")
    void aValidBodyWithOneCharacterChangedIsASubmissionOrAOneLineError(
            @ForAll int position, @ForAll char replacement) {
        int index = Math.floorMod(position, VALID_BODY.length());
        String changed =
                VALID_BODY.substring(0, index) + replacement + VALID_BODY.substring(index + 1);
        assertThat(errorOf(changed)).doesNotContain("\n");
    }

    @Property(tries = 2_000, seed = "13")
    void malformedIdsAreRejected(@ForAll @StringLength(max = 200) String id) {
        try {
            JobBodyParser.ParsedJob parsed =
                    mParser.parse(VALID_BODY, Optional.empty(), Optional.of(id), 0);
            assertThat(parsed.submission().id().text()).matches("[A-Za-z0-9._:~-]{1,128}");
        } catch (JobBodyParser.InvalidBodyException e) {
            assertThat(e).hasMessageThat().startsWith("id: ");
        }
    }

    @Test
    void errorsNameTheField() {
        assertThat(errorOf("{")).startsWith("body: ");
        assertThat(errorOf("null")).startsWith("body: ");
        assertThat(errorOf("{\"kind\":\"k\"}")).startsWith("team: ");
        assertThat(errorOf("{\"team\":\"t\",\"kind\":\"k\",\"tasks\":[]}"))
                .isEqualTo("tasks: expected 1 to 3 tasks");
        assertThat(errorOf(VALID_BODY.replace("\"cpuMillis\":1", "\"cpuMillis\":-1")))
                .startsWith("tasks[0].cpuMillis: expected");
        assertThat(errorOf(VALID_BODY.replace("\"team\"", "\"tean\""))).startsWith("body: ");
        assertThat(errorOf(VALID_BODY.replace("\"p\"", "[".repeat(40)))).startsWith("body: ");
    }

    @Test
    void aResubmissionHasTheSameFingerprintWhateverItsTimeout() throws Exception {
        String longer = VALID_BODY.replace("{\"team\"", "{\"timeoutMs\":5,\"team\"");
        long first = fingerprint(VALID_BODY);
        assertThat(fingerprint(longer)).isEqualTo(first);
        assertThat(fingerprint(VALID_BODY.replace("\"p\"", "\"q\""))).isNotEqualTo(first);
    }

    private long fingerprint(String body) throws Exception {
        return mParser.parse(body, Optional.empty(), Optional.empty(), 0)
                .submission()
                .fingerprint();
    }
}
