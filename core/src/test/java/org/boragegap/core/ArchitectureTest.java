package org.boragegap.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** The core has no I/O, threads, clocks or randomness of its own, and its packages no cycles. */
final class ArchitectureTest {
    private static final JavaClasses CORE =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("org.boragegap.core");

    @Test
    void coreHasNoIoThreadsOrClocks() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.net..",
                        "java.nio.channels..",
                        "java.nio.file..",
                        "java.time..",
                        "java.util.concurrent..",
                        "org.glassfish..",
                        "com.fasterxml..",
                        "org.apache.logging..")
                .check(CORE);
    }

    @Test
    void coreReadsNoClockAndStartsNoThread() {
        noClasses()
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(Math.class, "random")
                .orShould()
                .dependOnClassesThat()
                .belongToAnyOf(Thread.class, java.util.Random.class, java.util.UUID.class)
                .check(CORE.that(new NotSubmissionId()));
    }

    /** Excepts SubmissionId, which parses UUIDs but doesn't generate any. */
    private static final class NotSubmissionId
            extends com.tngtech.archunit.base.DescribedPredicate<
                    com.tngtech.archunit.core.domain.JavaClass> {
        private NotSubmissionId() {
            super("classes other than SubmissionId");
        }

        @Override
        public boolean test(com.tngtech.archunit.core.domain.JavaClass type) {
            return !type.getName().startsWith("org.boragegap.core.job.SubmissionId");
        }
    }

    @Test
    void packagesHaveNoCycles() {
        slices().matching("org.boragegap.core.(*)..").should().beFreeOfCycles().check(CORE);
    }
}
