package org.cuminshelf.outliers;

/**
 * What an estimate of an upstream's errors rests on, for the log. Counts decay with a time constant of 3 s.
 *
 * @param ownAnswers      answers that this entry received, errors included
 * @param ownErrors       errors among them
 * @param reportedAnswers answers that other entries reported, errors included
 * @param reportedErrors  errors among them
 * @param ageMillis       milliseconds since the last observation
 */
public record OutlierEvidence(
        double ownAnswers, double ownErrors, double reportedAnswers, double reportedErrors, long ageMillis) {}
