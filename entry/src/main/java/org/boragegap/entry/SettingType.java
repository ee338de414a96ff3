package org.boragegap.entry;

import java.util.function.Predicate;
import java.util.regex.Pattern;

/** Which values a setting takes. */
public final class SettingType {
    private static final Pattern NAME_PATTERN = Pattern.compile("[a-z0-9-]{1,32}");
    private static final Pattern ADDRESS_PATTERN = Pattern.compile("[0-9A-Za-z.-]+:[0-9]{1,5}");
    private static final int MAX_PORT = 65_535;

    /** A short name. */
    public static final SettingType NAME =
            new SettingType("a-z, 0-9 and -, up to 32", v -> NAME_PATTERN.matcher(v).matches());

    /** Short names, separated by commas. */
    public static final SettingType NAMES =
            new SettingType("names separated by commas", SettingType::isNameList);

    /** A host and a port. */
    public static final SettingType ADDRESS = new SettingType("host:port", SettingType::isAddress);

    /** Any text. */
    public static final SettingType TEXT = new SettingType("text", value -> true);

    /** Yes or no. */
    public static final SettingType BOOLEAN = oneOf("true", "false");

    private final String mExpected;
    private final Predicate<String> mCheck;

    private SettingType(String expected, Predicate<String> check) {
        mExpected = expected;
        mCheck = check;
    }

    /** A whole number within bounds. */
    public static SettingType integer(long least, long most) {
        return new SettingType(
                least + " to " + most,
                value -> {
                    try {
                        long number = Long.parseLong(value);
                        return number >= least && number <= most;
                    } catch (NumberFormatException e) {
                        return false;
                    }
                });
    }

    /** A number within bounds, with a fraction if need be. */
    public static SettingType decimal(double least, double most) {
        return new SettingType(
                least + " to " + most,
                value -> {
                    try {
                        double number = Double.parseDouble(value);
                        return number >= least && number <= most;
                    } catch (NumberFormatException e) {
                        return false;
                    }
                });
    }

    /** One of some words. */
    public static SettingType oneOf(String... words) {
        java.util.List<String> allowed = java.util.List.of(words);
        return new SettingType(String.join(", ", words), allowed::contains);
    }

    private static boolean isNameList(String value) {
        for (String name : value.split(",")) {
            if (!NAME_PATTERN.matcher(name.trim()).matches()) {
                return false;
            }
        }
        return true;
    }

    private static boolean isAddress(String value) {
        if (!ADDRESS_PATTERN.matcher(value).matches()) {
            return false;
        }
        int port = Integer.parseInt(value.substring(value.lastIndexOf(':') + 1));
        return port > 0 && port <= MAX_PORT;
    }

    /** What is expected, for tables and errors. */
    public String expected() {
        return mExpected;
    }

    /** True when the value is one of those. */
    public boolean accepts(String value) {
        return mCheck.test(value);
    }
}
