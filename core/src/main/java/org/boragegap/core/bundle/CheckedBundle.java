package org.boragegap.core.bundle;

import java.util.Optional;

/**
 * A bundle with the result of checking its signatures and reading its body.
 *
 * @param bundle the bundle
 * @param content its content; empty when it is not acceptable
 * @param problem why it is not acceptable, empty when it is
 */
public record CheckedBundle(Bundle bundle, Optional<BundleContent> content, String problem) {

    /** An acceptable bundle. */
    public static CheckedBundle valid(Bundle bundle, BundleContent content) {
        return new CheckedBundle(bundle, Optional.of(content), "");
    }

    /** A bundle that is not acceptable. */
    public static CheckedBundle invalid(Bundle bundle, String problem) {
        return new CheckedBundle(bundle, Optional.empty(), problem);
    }
}
