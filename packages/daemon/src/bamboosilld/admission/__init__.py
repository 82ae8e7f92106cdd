"""Admission control: rate limits, queues, circuit breakers, retry budgets."""
