package org.boragegap.entry;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Settings files: which values are accepted, and the one-line error for each that is not. */
final class SettingsTest {
    private static final String VALID_FILE =
            String.join(
                    "\n",
                    "[vm]",
                    "failure_domain = a",
                    "peer_address = 127.0.0.1:7001",
                    "caller_address = 127.0.0.1:7002",
                    "operator_address = 127.0.0.1:7003",
                    "[deployment]",
                    "failure_domains = a, b",
                    "[platform]",
                    "log = 127.0.0.1:7004",
                    "vm_list = 127.0.0.1:7005",
                    "");

    private static List<String> problems(String text) {
        Settings.ReadResult result = Settings.parse("f.ini", text);
        return result instanceof Settings.ReadResult.Invalid invalid
                ? invalid.problems()
                : List.of();
    }

    @Nested
    final class Reading {
        @Test
        void missingOptionalKeysGetTheirDefaults() {
            Settings settings =
                    ((Settings.ReadResult.Valid) Settings.parse("f.ini", VALID_FILE)).settings();
            assertThat(settings.number(Setting.TASKS_PER_JOB)).isEqualTo(360);
            assertThat(settings.names(Setting.FAILURE_DOMAINS)).containsExactly("a", "b");
            assertThat(settings.port(Setting.CALLER_ADDRESS)).isEqualTo(7002);
        }

        @Test
        void anUnknownKeyIsAnError() {
            assertThat(problems(VALID_FILE + "[drain]\nbond_ms = 3\n"))
                    .containsExactly("f.ini: [drain] bond_ms: unknown key");
        }

        @Test
        void aValueOutOfRangeIsReportedWithTheExpectedRange() {
            assertThat(problems(VALID_FILE + "[limits]\ntasks_per_job = 0\n"))
                    .containsExactly("f.ini: [limits] tasks_per_job = 0: expected 1 to 10000");
        }

        @Test
        void aMissingRequiredKeyIsAnError() {
            assertThat(problems(VALID_FILE.replace("log = 127.0.0.1:7004", "")))
                    .containsExactly("f.ini: [platform] log: is required");
        }

        @Test
        void theFailureDomainOfTheVmMustBeListed() {
            assertThat(problems(VALID_FILE.replace("failure_domain = a", "failure_domain = c")))
                    .containsExactly(
                            "f.ini: [vm] failure_domain = c: expected one of"
                                    + " [deployment] failure_domains");
        }
    }

    @Nested
    final class Documentation {
        @Test
        void theSettingsPageContainsTheTable() throws Exception {
            String page = Files.readString(Path.of("../docs/SETTINGS.md"));
            assertThat(page).contains(Setting.markdownTable());
        }
    }
}
