package org.boragegap.entry;

import java.util.Arrays;
import java.util.Optional;

/** All settings of an entry process, each with its section, key, type, unit and default. */
public enum Setting {
    FAILURE_DOMAIN("vm", "failure_domain", SettingType.NAME, "", null, "failure domain of this VM"),
    PEER_ADDRESS(
            "vm", "peer_address", SettingType.ADDRESS, "", null, "where other entry VMs reach it"),
    CALLER_ADDRESS("vm", "caller_address", SettingType.ADDRESS, "", null, "HTTP for callers"),
    OPERATOR_ADDRESS("vm", "operator_address", SettingType.ADDRESS, "", null, "HTTP for operators"),
    READY_ADDRESS(
            "vm",
            "ready_address",
            SettingType.ADDRESS,
            "",
            "",
            "HTTP for the balancer's readiness check"),
    METRICS_ADDRESS("vm", "metrics_address", SettingType.ADDRESS, "", "", "HTTP for metrics"),
    CPU_SHARE(
            "vm",
            "cpu_share",
            SettingType.decimal(0.01, 1),
            "",
            "1",
            "share of each core that the VM may use"),
    CORES(
            "vm",
            "cores",
            SettingType.decimal(0.01, 1_000),
            "",
            "1",
            "cores of the VM; the strongest VMs control cells"),
    FAILURE_DOMAINS(
            "deployment",
            "failure_domains",
            SettingType.NAMES,
            "",
            null,
            "all failure domains; the same on every VM"),
    LOG_ADDRESS("platform", "log", SettingType.ADDRESS, "", null, "the platform's log"),
    VM_LIST_ADDRESS(
            "platform", "vm_list", SettingType.ADDRESS, "", null, "the platform's list of VMs"),
    STORE_ADDRESS(
            "platform",
            "store",
            SettingType.ADDRESS,
            "",
            "",
            "the platform's store; if given, jobs run in a cell and log and vm_list are not used"),
    GROUP_LEASE_MS(
            "platform",
            "group_lease_ms",
            SettingType.integer(100, 60_000),
            "ms",
            "1000",
            "how long the store keeps a silent VM in the group"),
    TARGET_LEASE_MS(
            "platform",
            "target_lease_ms",
            SettingType.integer(100, 60_000),
            "ms",
            "1000",
            "longest lease that a target grants"),
    FIRST_START(
            "platform",
            "first_start",
            SettingType.BOOLEAN,
            "",
            "false",
            "all VMs of the deployment start for the first time, so no job has run before"),
    LOG_POLL_MS(
            "platform", "log_poll_ms", SettingType.integer(20, 10_000), "ms", "500", "log reads"),
    VM_LIST_POLL_MS(
            "platform",
            "vm_list_poll_ms",
            SettingType.integer(100, 60_000),
            "ms",
            "1000",
            "list reads"),
    LOG_RETENTION_MS(
            "platform",
            "log_retention_ms",
            SettingType.integer(10_000, 31_536_000_000L),
            "ms",
            "3600000",
            "how long the log keeps a record"),
    OPERATOR_KEY_FILE(
            "operators", "key_file", SettingType.TEXT, "", "", "file with the operators' key"),
    SIGNERS(
            "bundles",
            "signers",
            SettingType.TEXT,
            "",
            "",
            "name=key, ... (Ed25519, base64 X.509)"),
    SIGNATURES(
            "bundles",
            "signatures",
            SettingType.integer(0, 16),
            "",
            "2",
            "signers that must agree"),
    BODY_BYTES(
            "limits",
            "body_bytes",
            SettingType.integer(1_024, 16_777_216),
            "bytes",
            "2097152",
            "largest request body"),
    TASKS_PER_JOB(
            "limits", "tasks_per_job", SettingType.integer(1, 10_000), "", "360", "tasks a job"),
    QUEUED_TASKS(
            "limits",
            "queued_tasks",
            SettingType.integer(1, 1_000_000),
            "",
            "20000",
            "tasks waiting"),
    REFUSE_HOPELESS(
            "limits",
            "refuse_hopeless",
            SettingType.BOOLEAN,
            "",
            "true",
            "refuse at once what can't make its deadline"),
    CONNECTIONS(
            "limits",
            "connections_per_target",
            SettingType.integer(1, 1_024),
            "",
            "64",
            "connections to one target"),
    ID_WINDOW_MS(
            "claims",
            "id_window_ms",
            SettingType.integer(10_000, 86_400_000),
            "ms",
            "300000",
            "how long an id is valid"),
    CLOCK_SKEW_MS(
            "claims",
            "clock_skew_ms",
            SettingType.integer(1, 60_000),
            "ms",
            "1000",
            "bound between two clocks"),
    CLAIM_TIMEOUT_MS(
            "claims",
            "claim_timeout_ms",
            SettingType.integer(50, 60_000),
            "ms",
            "4000",
            "wait for a claim"),
    CLAIM_LEASE_MS(
            "claims",
            "lease_ms",
            SettingType.integer(1_000, 86_400_000),
            "ms",
            "900000",
            "how long a VM that can't read the log goes on claiming"),
    RESEND_MS(
            "claims",
            "resend_ms",
            SettingType.integer(10, 10_000),
            "ms",
            "200",
            "pause between tries"),
    SUSPECT_MS(
            "claims",
            "suspect_ms",
            SettingType.integer(100, 60_000),
            "ms",
            "1000",
            "silence before suspicion"),
    ANSWER_KEEP_MS(
            "claims",
            "answer_keep_ms",
            SettingType.integer(0, 3_600_000),
            "ms",
            "60000",
            "answers kept for resubmissions"),
    PLACEMENT(
            "policy",
            "placement",
            SettingType.oneOf("ROUND_ROBIN", "LEAST_LOADED", "POWER_OF_TWO"),
            "",
            "POWER_OF_TWO",
            "choice among targets"),
    ORDER("policy", "order", SettingType.oneOf("FIFO", "FAIR"), "", "FAIR", "order of the queue"),
    LOANS(
            "policy",
            "loans",
            SettingType.oneOf("on", "off"),
            "",
            "off",
            "whether cells lend idle targets to each other"),
    FAR_FACTOR(
            "policy",
            "far_factor",
            SettingType.decimal(1, 100),
            "",
            "2",
            "how many times longer a task runs away from its data"),
    SPEED_PLACEMENT(
            "policy",
            "speed_placement",
            SettingType.oneOf("on", "off"),
            "",
            "off",
            "placement and waiting times take the targets' speeds into account where they differ"),
    START_GRACE_MS(
            "policy",
            "start_grace_ms",
            SettingType.integer(50, 60_000),
            "ms",
            "1000",
            "from decision to sending"),
    RETRY_PERCENT(
            "policy",
            "retry_percent",
            SettingType.integer(0, 100),
            "%",
            "10",
            "retries per first try"),
    DRAIN_MS(
            "drain", "bound_ms", SettingType.integer(0, 3_600_000), "ms", "30000", "longest drain"),
    LOG_LEVEL(
            "logging",
            "level",
            SettingType.oneOf("ERROR", "WARN", "INFO", "DEBUG"),
            "",
            "INFO",
            "least level that is logged");

    private final String mSection;
    private final String mKey;
    private final SettingType mType;
    private final String mUnit;
    private final String mDefault;
    private final String mDescription;

    Setting(
            String section,
            String key,
            SettingType type,
            String unit,
            String defaultValue,
            String description) {
        mSection = section;
        mKey = key;
        mType = type;
        mUnit = unit;
        mDefault = defaultValue;
        mDescription = description;
    }

    /** Section and key, as {@code section.key}. */
    public String path() {
        return mSection + "." + mKey;
    }

    /** Section of the INI file. */
    public String section() {
        return mSection;
    }

    /** Key within the section. */
    public String key() {
        return mKey;
    }

    /** The type, which says which values are allowed. */
    public SettingType type() {
        return mType;
    }

    /** Unit of the value, or empty if it has none. */
    public String unit() {
        return mUnit;
    }

    /** Value to use if the file has none; empty if the setting is required. */
    public Optional<String> defaultValue() {
        return Optional.ofNullable(mDefault);
    }

    /** A short description. */
    public String description() {
        return mDescription;
    }

    /** The setting with this section and key. */
    public static Optional<Setting> find(String section, String key) {
        return Arrays.stream(values())
                .filter(setting -> setting.mSection.equals(section) && setting.mKey.equals(key))
                .findFirst();
    }

    /** A table of all settings, as Markdown. */
    public static String markdownTable() {
        StringBuilder table =
                new StringBuilder("| setting | values | unit | default | meaning |\n");
        table.append("| --- | --- | --- | --- | --- |\n");
        for (Setting setting : values()) {
            String shownDefault = setting.defaultValue().orElse("(required)");
            table.append("| `").append(setting.path()).append("` | ");
            table.append(setting.type().expected()).append(" | ");
            table.append(setting.unit()).append(" | ");
            table.append(shownDefault.isEmpty() ? "(none)" : shownDefault).append(" | ");
            table.append(setting.description()).append(" |\n");
        }
        return table.toString();
    }
}
