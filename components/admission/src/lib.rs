//! Limits, fairness between organisations and admission by deadline.
