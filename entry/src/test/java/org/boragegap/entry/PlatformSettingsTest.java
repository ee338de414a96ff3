package org.boragegap.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against a value of the platform that prevents the start of every VM of a deployment. The
 * platform filled in a factor of 1.5 where a whole number was expected: every VM ended its start
 * with an error, was restarted and failed again, so callers were refused a connection, though no
 * guarantee depends on the factor.
 */
final class PlatformSettingsTest {
    private static final String TEMPLATE = "../deploy/entry.ini";

    /**
     * The values that the platform fills in, by placeholder, as documented for current deployments.
     */
    private static Map<String, String> platformValues(
            String domain, String cores, String farFactor) {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("{{Zone}}", domain);
        values.put("{{Ip}}", "10.1.0.13");
        values.put("{{InternalPortRange.0}}", "7720");
        values.put("{{Listen.Front}}", "10.1.0.13:8161");
        values.put("{{Listen.Control}}", "10.1.0.13:8166");
        values.put("{{Listen.Ready}}", "10.1.0.13:8167");
        values.put("{{Limits.CpuShare}}", "0.36");
        values.put("{{Limits.Cores}}", cores);
        values.put("{{#Zones}}{{@}}{{,}}{{/Zones}}", domain + ",elsewhere");
        values.put("{{platform.Address}}", "10.200.1.7:8169");
        values.put("{{platform.TtlMinMs}}", "1000");
        values.put("{{Bounds.HoldMaxMs}}", "1000");
        values.put("{{Bootstrap}}", "true");
        values.put("{{Bounds.FarFactor}}", farFactor);
        return values;
    }

    private static final List<Map<String, String>> DEPLOYMENTS =
            List.of(
                    platformValues("burnaby-a", "1", "3"),
                    platformValues("viti-levu", "1", "2"),
                    platformValues("lisen", "1", "3"),
                    platformValues("coquitlam-a", "2", "1.5"),
                    platformValues("surrey-a", "1.5", "1.25"));

    /** Unexpected values: missing, of another type, out of any range, or with a fraction. */
    private static final List<String> UNEXPECTED_VALUES =
            List.of("", "1.5", "1000.0", "0", "-1", "1e30", "NaN", "null", "[1, 2]", "Größe");

    /** Placeholders of addresses that a VM needs to listen, to be found, or to reach the store. */
    private static final List<String> REQUIRED_PLACEHOLDERS =
            List.of(
                    "{{Ip}}",
                    "{{InternalPortRange.0}}",
                    "{{Listen.Front}}",
                    "{{Listen.Ready}}",
                    "{{platform.Address}}");

    private static Settings.ReadResult renderAndParse(Map<String, String> values)
            throws IOException {
        String text = Files.readString(Path.of(TEMPLATE));
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace(value.getKey(), value.getValue());
        }
        assertThat(text).doesNotContain("{{");
        return Settings.parse("boot", text);
    }

    private static Settings parseValid(Map<String, String> values) throws IOException {
        Settings.ReadResult result = renderAndParse(values);
        assertWithMessage("%s: %s", values, result)
                .that(result)
                .isInstanceOf(Settings.ReadResult.Valid.class);
        return ((Settings.ReadResult.Valid) result).settings();
    }

    private static Map<String, String> with(
            Map<String, String> values, String placeholder, String value) {
        Map<String, String> changed = new LinkedHashMap<>(values);
        changed.put(placeholder, value);
        return changed;
    }

    @Nested
    final class KnownDeployments {
        @Test
        void allAreValidAndNothingIsReplaced() throws IOException {
            for (Map<String, String> deployment : DEPLOYMENTS) {
                assertThat(parseValid(deployment).replacedValues()).isEmpty();
            }
        }

        @Test
        void aFractionalFactorIsAccepted() throws IOException {
            assertThat(parseValid(DEPLOYMENTS.get(3)).decimal(Setting.FAR_FACTOR)).isEqualTo(1.5);
        }
    }

    @Nested
    final class UnexpectedValues {
        @Test
        void anUnexpectedReplaceableValueNeverPreventsTheStart() throws IOException {
            for (Map<String, String> deployment : DEPLOYMENTS) {
                for (String placeholder : deployment.keySet()) {
                    for (String value :
                            REQUIRED_PLACEHOLDERS.contains(placeholder)
                                    ? List.<String>of()
                                    : UNEXPECTED_VALUES) {
                        parseValid(with(deployment, placeholder, value));
                    }
                }
            }
        }

        @Test
        void anInvalidRequiredAddressIsOneError() throws IOException {
            for (String placeholder : REQUIRED_PLACEHOLDERS) {
                Settings.ReadResult result =
                        renderAndParse(with(DEPLOYMENTS.get(0), placeholder, "no address"));
                List<String> problems = ((Settings.ReadResult.Invalid) result).problems();
                assertWithMessage("%s", problems).that(problems).hasSize(1);
                assertThat(problems.get(0)).contains("expected host:port");
            }
        }

        @Test
        void aReplacedValueIsReportedWithItsReplacement() throws IOException {
            Settings settings = parseValid(with(DEPLOYMENTS.get(0), "{{Bounds.FarFactor}}", "-1"));
            assertThat(settings.replacedValues())
                    .containsExactly(
                            "boot: [policy] far_factor = -1: expected 1.0 to 100.0, uses 2");
            assertThat(settings.decimal(Setting.FAR_FACTOR)).isEqualTo(2);
        }

        /** Guards against a restart that is taken for the first start and refuses jobs that ran. */
        @Test
        void onlyTrueMeansAFirstStart() throws IOException {
            assertThat(parseValid(DEPLOYMENTS.get(0)).flag(Setting.FIRST_START)).isTrue();
            for (String value : List.of("false", "", "1", "yes", "null", "[]")) {
                Settings settings = parseValid(with(DEPLOYMENTS.get(0), "{{Bootstrap}}", value));
                assertWithMessage(value).that(settings.flag(Setting.FIRST_START)).isFalse();
            }
        }

        @Test
        void aFractionalLeaseIsRoundedUp() throws IOException {
            Settings settings =
                    parseValid(with(DEPLOYMENTS.get(0), "{{Bounds.HoldMaxMs}}", "999.2"));
            assertThat(settings.number(Setting.TARGET_LEASE_MS)).isEqualTo(1_000);
        }
    }

    @Nested
    final class WithoutStore {
        @Test
        void anInvalidValueInAFileWithoutAStoreIsAnError() throws IOException {
            Map<String, String> values = with(DEPLOYMENTS.get(0), "{{Bounds.FarFactor}}", "-1");
            String text = Files.readString(Path.of(TEMPLATE)).replaceAll("(?m)^store = .*$", "");
            for (Map.Entry<String, String> value : values.entrySet()) {
                text = text.replace(value.getKey(), value.getValue());
            }
            Settings.ReadResult result = Settings.parse("boot", text);
            assertThat(((Settings.ReadResult.Invalid) result).problems())
                    .containsExactly("boot: [policy] far_factor = -1: expected 1.0 to 100.0");
        }
    }
}
