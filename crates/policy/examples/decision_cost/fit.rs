//! Least-squares fits of a figure to the number of endpoints.

/// Growth of a figure with the number of endpoints, determined by the loops that cause the figure.
#[derive(Clone, Copy)]
pub enum Growth {
    /// A constant cost and a cost per endpoint.
    Linear,
    /// A constant cost and the cost of a sort.
    Sort,
    /// A cost per endpoint and a cost per pair of endpoints.
    Square,
}

impl Growth {
    /// Returns the formula that the report states.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Linear => "a + b*n",
            Self::Sort => "a + b*n*log2(n)",
            Self::Square => "a*n + b*n^2",
        }
    }

    /// Returns the two terms whose factors are fitted.
    fn terms(self, endpoints: f64) -> (f64, f64) {
        match self {
            Self::Linear => (1.0, endpoints),
            Self::Sort => (1.0, endpoints * endpoints.log2()),
            Self::Square => (endpoints, endpoints * endpoints),
        }
    }
}

/// Fitted factors of the two terms of a [`Growth`].
pub struct Fit {
    pub growth: Growth,
    pub factors: (f64, f64),
}

impl Fit {
    /// Fits the factors with the least sum of squared relative errors. Errors are relative because
    /// rows differ by orders of magnitude.
    pub fn new(growth: Growth, points: &[(f64, f64)]) -> Self {
        // With terms divided by the figure, the fitted value of each point is 1.
        let scaled = |&(endpoints, figure): &(f64, f64)| {
            let (first, second) = growth.terms(endpoints);
            (first / figure, second / figure)
        };
        let terms: Vec<(f64, f64)> = points.iter().map(scaled).collect();
        let sum = |product: fn(&(f64, f64)) -> f64| terms.iter().map(product).sum::<f64>();
        let (first, second) = (sum(|t| t.0), sum(|t| t.1));
        let (squares, mixed, second_squares) =
            (sum(|t| t.0 * t.0), sum(|t| t.0 * t.1), sum(|t| t.1 * t.1));
        let determinant = squares * second_squares - mixed * mixed;
        let factors = (
            (first * second_squares - second * mixed) / determinant,
            (second * squares - first * mixed) / determinant,
        );
        Self { growth, factors }
    }

    fn value_at(&self, endpoints: f64) -> f64 {
        let (first, second) = self.growth.terms(endpoints);
        self.factors.0 * first + self.factors.1 * second
    }

    /// Returns the deviation of the fit from a figure, in per cent of the figure.
    pub fn error(&self, (endpoints, figure): (f64, f64)) -> f64 {
        100.0 * (self.value_at(endpoints) - figure) / figure
    }
}
